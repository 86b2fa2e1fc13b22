#ifndef TOUCANMILL_BASE_INVARIANT_HPP
#define TOUCANMILL_BASE_INVARIANT_HPP

namespace toucanmill
{

/// Reports a violated invariant on standard error and aborts the process.
[[noreturn]] void invariant_failed(const char* condition, const char* message,
                                   const char* file, int line);

} // namespace toucanmill

/// Checked in every build type: a process in an invalid state must end.
#define TOUCANMILL_INVARIANT(condition, message)                               \
  do                                                                           \
  {                                                                            \
    if (!(condition))                                                          \
      ::toucanmill::invariant_failed(#condition, message, __FILE__, __LINE__); \
  } while (false)

#endif
