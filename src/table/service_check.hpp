#ifndef TOUCANMILL_SRC_TABLE_SERVICE_CHECK_HPP
#define TOUCANMILL_SRC_TABLE_SERVICE_CHECK_HPP

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill::detail
{

/// Checks the number of buckets, the chain lengths and the holder indexes of a
/// service. Errors: corrupt_data.
result<void> check_service(const service_table& service);

} // namespace toucanmill::detail

#endif
