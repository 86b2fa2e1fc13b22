#ifndef TOUCANMILL_SRC_TABLE_SERVICE_CHECK_HPP
#define TOUCANMILL_SRC_TABLE_SERVICE_CHECK_HPP

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill::detail
{

/// Error corrupt_data when the buckets, chains and holders of the service do
/// not fit together.
result<void> check_service(const service_table& service);

} // namespace toucanmill::detail

#endif
