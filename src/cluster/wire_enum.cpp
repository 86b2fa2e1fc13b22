#include <toucanmill/cluster/wire.hpp>

namespace toucanmill::wire
{

namespace
{

/// Enumerators have the same values in C++ and in the schema.
template <class To, class From>
To enum_cast(From value)
{
  return static_cast<To>(static_cast<std::uint16_t>(value));
}

template <class To, class From>
result<To> checked_enum_cast(From value, To last, const char* name)
{
  if (static_cast<std::uint16_t>(value) > static_cast<std::uint16_t>(last))
    return error{error_code::corrupt_data,
                 std::string(name) + " has the unknown value " +
                     std::to_string(static_cast<std::uint16_t>(value))};
  return enum_cast<To>(value);
}

template <class Left, class Right>
constexpr bool has_same_value(Left left, Right right)
{
  return static_cast<unsigned>(left) == static_cast<unsigned>(right);
}

static_assert(has_same_value(service_kind::relay, schema::ServiceKind::RELAY));
static_assert(has_same_value(node_role::agent, schema::NodeRole::AGENT));
static_assert(has_same_value(node_state::gone, schema::NodeState::GONE));
static_assert(has_same_value(node_order::retire, schema::NodeOrder::RETIRE));
static_assert(has_same_value(error_code::version_conflict,
                             schema::Reason::VERSION_CONFLICT));
static_assert(has_same_value(error_code::io_failure,
                             schema::Reason::IO_FAILURE));
static_assert(has_same_value(claim_verdict::limit_reached,
                             schema::ClaimVerdict::LIMIT_REACHED));

} // namespace

schema::ServiceKind to_schema(service_kind value)
{
  return enum_cast<schema::ServiceKind>(value);
}

schema::NodeRole to_schema(node_role value)
{
  return enum_cast<schema::NodeRole>(value);
}

schema::NodeState to_schema(node_state value)
{
  return enum_cast<schema::NodeState>(value);
}

schema::NodeOrder to_schema(node_order value)
{
  return enum_cast<schema::NodeOrder>(value);
}

schema::Reason to_schema(error_code value)
{
  return enum_cast<schema::Reason>(value);
}

schema::ClaimVerdict to_schema(claim_verdict value)
{
  return enum_cast<schema::ClaimVerdict>(value);
}

result<service_kind> read(schema::ServiceKind value)
{
  return checked_enum_cast(value, service_kind::relay, "service kind");
}

result<node_role> read(schema::NodeRole value)
{
  return checked_enum_cast(value, node_role::agent, "node role");
}

result<node_state> read(schema::NodeState value)
{
  return checked_enum_cast(value, node_state::gone, "node state");
}

result<node_order> read(schema::NodeOrder value)
{
  return checked_enum_cast(value, node_order::retire, "node order");
}

result<error_code> read(schema::Reason value)
{
  return checked_enum_cast(value, error_code::io_failure, "reason");
}

result<claim_verdict> read(schema::ClaimVerdict value)
{
  return checked_enum_cast(value, claim_verdict::limit_reached,
                           "claim verdict");
}

} // namespace toucanmill::wire
