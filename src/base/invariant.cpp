#include <toucanmill/base/invariant.hpp>

#include <cstdio>
#include <cstdlib>

namespace toucanmill
{

void invariant_failed(const char* condition, const char* message,
                      const char* file, int line)
{
  std::fprintf(stderr, "%s:%d: invariant violated: %s (%s)\n", file, line,
               message, condition);
  std::abort();
}

} // namespace toucanmill
