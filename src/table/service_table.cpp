#include <toucanmill/table/service_table.hpp>

#include <algorithm>

namespace toucanmill
{

std::optional<std::uint32_t> warm_up_rate_in(const table_update& update,
                                             const std::string& service)
{
  const auto found = std::find_if(update.changed.begin(), update.changed.end(),
                                  [&](const service_table& item)
                                  {
                                    return item.name == service;
                                  });
  if (found == update.changed.end())
    return std::nullopt;
  return found->warm_up_rate;
}

} // namespace toucanmill
