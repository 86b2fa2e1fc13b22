#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <vector>

namespace
{

namespace fs = std::filesystem;

const fs::path root = TOUCANMILL_SOURCE_DIR;

const std::vector<std::string> slices = {
    "base", "settings",  "packet", "table",    "log",   "cluster", "net",
    "load", "admission", "relay",  "balancer", "agent", "control", "observe"};

const std::set<std::string> pure_slices = {"packet", "table", "cluster", "load",
                                           "admission"};

const std::regex forbidden(
    "sys/socket|sys/epoll|unistd|fcntl|netinet|arpa/inet|fstream|filesystem|"
    "thread>|<mutex>|condition_variable|asio|log4cplus|kj/async|capnp/ez-rpc|"
    "capnp/rpc|base/clock|base/wakeup|base/ring|lwip|random_device");

std::size_t rank(const std::string& slice)
{
  for (std::size_t i = 0; i < slices.size(); ++i)
    if (slices[i] == slice)
      return i;
  return slices.size();
}

std::vector<std::string> includes_of(const fs::path& file)
{
  std::ifstream input(file);
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  const std::regex pattern("#include [<\"]([^>\"]+[>\"])");
  std::vector<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it)
    found.push_back("<" + (*it)[1].str());
  return found;
}

bool is_test(const fs::path& file)
{
  const auto stem = file.stem().string();
  return stem.size() > 5 && stem.compare(stem.size() - 5, 5, "_test") == 0;
}

bool is_core(const std::string& slice, const fs::path& file)
{
  const auto stem = file.stem().string();
  const bool named_core =
      stem.size() > 5 && stem.compare(stem.size() - 5, 5, "_core") == 0;
  return pure_slices.count(slice) != 0 || named_core;
}

template <class Check>
void for_each_source(Check check)
{
  for (const auto& slice : slices)
    for (const auto& top : {root / "include/toucanmill", root / "src"})
      if (fs::exists(top / slice))
        for (const auto& entry : fs::recursive_directory_iterator(top / slice))
          if (const auto& file = entry.path();
              (file.extension() == ".hpp" || file.extension() == ".cpp") &&
              !is_test(file))
            check(slice, file);
}

} // namespace

TEST_GROUP(include_graph){};

// Guards against a decision core that depends on I/O, time or threads, which
// would make the randomised runs irreproducible.
TEST(include_graph, decision_cores_do_no_io)
{
  std::string violations;
  for_each_source(
      [&](const std::string& slice, const fs::path& file)
      {
        if (!is_core(slice, file))
          return;
        for (const auto& name : includes_of(file))
          if (std::regex_search(name, forbidden))
            violations += file.string() + " includes " + name + "\n";
      });
  STRCMP_EQUAL("", violations.c_str());
}

// Guards against a lower slice that depends on a higher one.
TEST(include_graph, slices_include_only_lower_slices)
{
  const std::regex own("<toucanmill/([a-z]+)/");
  std::string violations;
  for_each_source(
      [&](const std::string& slice, const fs::path& file)
      {
        for (const auto& name : includes_of(file))
          if (std::smatch match; std::regex_search(name, match, own) &&
                                 rank(match[1].str()) > rank(slice))
            violations += file.string() + " includes " + name + "\n";
      });
  STRCMP_EQUAL("", violations.c_str());
}
