#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
  // The default leak detector is not thread safe and crashed tests that start
  // threads.
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
