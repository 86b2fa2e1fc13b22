#ifndef TOUCANMILL_TABLE_DATA_CENTRE_HPP
#define TOUCANMILL_TABLE_DATA_CENTRE_HPP

#include <cstdint>
#include <string_view>

namespace toucanmill
{

/// Identifies a data centre in tables and messages. A hash of its name, so that
/// each node can compute it from its settings.
using data_centre_key = std::uint32_t;

/// 0 for an empty name only.
data_centre_key key_of_data_centre(std::string_view name);

} // namespace toucanmill

#endif
