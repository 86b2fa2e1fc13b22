#include <toucanmill/cluster/validation.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

// Message texts must not change between builds: they are stored with refused
// operator requests, and replicas of different builds must store the same
// state.
error invalid(std::string message)
{
  return {error_code::invalid_argument, std::move(message)};
}

bool is_name_character(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

result<void> check_length(const std::string& what, std::size_t size,
                          std::size_t limit)
{
  if (size == 0 || size > limit)
    return invalid(what + " has " + std::to_string(size) +
                   " octets instead of 1 to " + std::to_string(limit));
  return outcome::success();
}

} // namespace

result<void> check_name(const std::string& what, const std::string& name)
{
  BOOST_OUTCOME_TRY(check_length(what, name.size(), max_name_length));
  if (!std::all_of(name.begin(), name.end(), is_name_character))
    return invalid(what + " \"" + name +
                   "\" has a character outside of a to z, 0 to 9 and \"-\"");
  return outcome::success();
}

result<void> check_endpoint(const std::string& what, const endpoint& value)
{
  if (value.address.value == 0 || value.port == 0)
    return invalid(what + " needs an address and a port other than 0");
  return outcome::success();
}

result<void> check_buckets(std::uint32_t buckets)
{
  if (buckets < min_buckets || buckets > max_buckets ||
      (buckets & (buckets - 1)) != 0)
    return invalid("bucket count " + std::to_string(buckets) +
                   " is not a power of two from " +
                   std::to_string(min_buckets) + " to " +
                   std::to_string(max_buckets));
  return outcome::success();
}

result<void> check_request_id(const std::string& id)
{
  return check_length("request id", id.size(), max_request_id_length);
}

result<void> check_claim_key(const std::string& key)
{
  return check_length("claim key", key.size(), max_claim_key_length);
}

result<void> check_identity(const node_identity& identity)
{
  BOOST_OUTCOME_TRY(check_name("node name", identity.name));
  BOOST_OUTCOME_TRY(
      check_endpoint("node \"" + identity.name + "\"", identity.data));
  if (!identity.data_centre.empty())
  {
    BOOST_OUTCOME_TRY(check_name("data centre", identity.data_centre));
  }
  if (identity.role == node_role::balancer)
    return outcome::success();
  return check_name("service of node \"" + identity.name + "\"",
                    identity.service);
}

} // namespace toucanmill
