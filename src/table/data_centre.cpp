#include <toucanmill/table/data_centre.hpp>

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace toucanmill
{

data_centre_key key_of_data_centre(std::string_view name)
{
  if (name.empty())
    return 0;
  const auto hash = XXH3_64bits(name.data(), name.size());
  return std::max<data_centre_key>(static_cast<data_centre_key>(hash), 1);
}

} // namespace toucanmill
