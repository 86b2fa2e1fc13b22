#include <toucanmill/cluster/wire.hpp>

namespace toucanmill::wire
{

namespace
{

// The enumerators have the same order in C++ and in the schema.
template <class To, class From>
To same_order(From value)
{
  return static_cast<To>(static_cast<std::uint16_t>(value));
}

template <class To, class From>
result<To> checked(From value, To last, const char* name)
{
  if (static_cast<std::uint16_t>(value) > static_cast<std::uint16_t>(last))
    return error{error_code::corrupt_data,
                 std::string(name) + " has the unknown value " +
                     std::to_string(static_cast<std::uint16_t>(value))};
  return same_order<To>(value);
}

template <class Left, class Right>
constexpr bool same(Left left, Right right)
{
  return static_cast<unsigned>(left) == static_cast<unsigned>(right);
}

static_assert(same(service_kind::relay, schema::ServiceKind::RELAY));
static_assert(same(node_role::agent, schema::NodeRole::AGENT));
static_assert(same(node_state::gone, schema::NodeState::GONE));
static_assert(same(node_order::retire, schema::NodeOrder::RETIRE));
static_assert(same(error_code::version_conflict,
                   schema::Reason::VERSION_CONFLICT));
static_assert(same(error_code::io_failure, schema::Reason::IO_FAILURE));
static_assert(same(claim_verdict::limit_reached,
                   schema::ClaimVerdict::LIMIT_REACHED));

} // namespace

schema::ServiceKind to_schema(service_kind value)
{
  return same_order<schema::ServiceKind>(value);
}

schema::NodeRole to_schema(node_role value)
{
  return same_order<schema::NodeRole>(value);
}

schema::NodeState to_schema(node_state value)
{
  return same_order<schema::NodeState>(value);
}

schema::NodeOrder to_schema(node_order value)
{
  return same_order<schema::NodeOrder>(value);
}

schema::Reason to_schema(error_code value)
{
  return same_order<schema::Reason>(value);
}

schema::ClaimVerdict to_schema(claim_verdict value)
{
  return same_order<schema::ClaimVerdict>(value);
}

result<service_kind> read(schema::ServiceKind value)
{
  return checked(value, service_kind::relay, "service kind");
}

result<node_role> read(schema::NodeRole value)
{
  return checked(value, node_role::agent, "node role");
}

result<node_state> read(schema::NodeState value)
{
  return checked(value, node_state::gone, "node state");
}

result<node_order> read(schema::NodeOrder value)
{
  return checked(value, node_order::retire, "node order");
}

result<error_code> read(schema::Reason value)
{
  return checked(value, error_code::io_failure, "reason");
}

result<claim_verdict> read(schema::ClaimVerdict value)
{
  return checked(value, claim_verdict::limit_reached, "claim verdict");
}

} // namespace toucanmill::wire
