#ifndef TOUCANMILL_CLUSTER_VALIDATION_HPP
#define TOUCANMILL_CLUSTER_VALIDATION_HPP

#include <cstddef>
#include <string>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/cluster/command.hpp>
#include <toucanmill/cluster/node.hpp>

namespace toucanmill
{

inline constexpr std::size_t max_name_length = 63;
inline constexpr std::size_t max_request_id_length = 128;
inline constexpr std::size_t max_claim_key_length = 256;
inline constexpr std::uint32_t min_buckets = 16;
inline constexpr std::uint32_t max_buckets = 4096;

/// Checks a service or node name: 1 to 63 characters of [a-z0-9-]. `what` names
/// the field in the error message. Errors: invalid_argument.
result<void> check_name(const std::string& what, const std::string& name);

/// Errors of these checks: invalid_argument.
result<void> check_endpoint(const std::string& what, const endpoint& value);
result<void> check_buckets(std::uint32_t buckets);
result<void> check_request_id(const std::string& id);
result<void> check_claim_key(const std::string& key);
result<void> check_identity(const node_identity& identity);

} // namespace toucanmill

#endif
