#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <cstdlib>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace
{

/// The tests of this program that the environment lists as known failures:
/// SUITE/GROUP.NAME, separated by commas. scripts/test sets the variable from
/// KNOWN-RED.txt.
std::set<std::string> known_failures(const std::string& program)
{
  const auto* const listed = std::getenv("TOUCANMILL_KNOWN_RED_TESTS");
  const auto suite = program.substr(program.rfind('/') + 1);
  std::istringstream names(listed != nullptr ? listed : "");
  std::set<std::string> found;
  for (std::string name; std::getline(names, name, ',');)
    if (const auto slash = name.find('/');
        name.substr(0, slash) + "_test" == suite)
      found.insert(name.substr(slash + 1));
  return found;
}

/// Replaces the current registry by `remaining`, which gets all other tests.
void leave_out(const std::set<std::string>& names, TestRegistry& remaining)
{
  std::vector<UtestShell*> tests;
  for (auto* test = TestRegistry::getCurrentRegistry()->getFirstTest();
       test != nullptr; test = test->getNext())
    tests.push_back(test);
  for (auto it = tests.rbegin(); it != tests.rend(); ++it)
  {
    const std::string group = (*it)->getGroup().asCharString();
    const std::string name = (*it)->getName().asCharString();
    if (names.count(group + "." + name) == 0)
      remaining.addTest(*it);
  }
  remaining.setCurrentRegistry(&remaining);
}

} // namespace

int main(int argc, char** argv)
{
  // CppUTest reports lazily built statics and threads as leaks; the sanitizer
  // preset finds real ones.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  TestRegistry remaining;
  if (const auto names = known_failures(argv[0]); !names.empty())
    leave_out(names, remaining);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
