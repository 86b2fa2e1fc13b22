#include "cluster_state.hpp"

#include <set>
#include <utility>

namespace toucanmill
{

namespace
{

/// Bucket count of a declared service; with 256, the shares of 16 upstreams
/// differ by at most 6%.
constexpr std::size_t declared_bucket_count = 256;

void add_declared_service(cluster_state& state, const std::string& name)
{
  auto& service = state.services[name];
  service.table.id = service_id{++state.last_service};
  service.table.name = name;
  service.table.kind = service_kind::relay;
  service.table.version = state.position;
  service.table.buckets.resize(declared_bucket_count);
  service.moved.resize(declared_bucket_count);
  index_service(state, name);
  update_service(state, name);
}

/// Removes services that are no longer declared and have no upstreams left.
/// Until the last upstream is gone, open flows of the service still need it.
void remove_undeclared_services(cluster_state& state)
{
  const std::set<std::string> declared(state.declared.services.begin(),
                                       state.declared.services.end());
  std::vector<std::string> unused;
  for (const auto& [name, service] : state.services)
    if (service.table.kind == service_kind::relay &&
        service.table.holders.empty() && declared.count(name) == 0)
      unused.push_back(name);
  for (const auto& name : unused)
    remove_service(state, name);
}

std::string summarize(const findings& found)
{
  return found.front().key + ": " + found.front().message +
         (found.size() > 1
              ? " (and " + std::to_string(found.size() - 1) + " more)"
              : "");
}

} // namespace

// Validates before comparing versions: an invalid configuration is refused even
// if a newer version is already in force.
change_outcome apply_declaration(cluster_state& state,
                                 const configuration& value)
{
  if (const auto found = check_configuration(value); !found.empty())
    return {false, error_code::invalid_argument, summarize(found),
            state.declared.version, 0};
  if (value.version > state.declared.version)
  {
    auto next = value;
    keep_former_services(state.declared, next);
    state.declared = std::move(next);
    state.declared_index = state.position.index;
    for (const auto& name : value.services)
      if (state.services.count(name) == 0)
        add_declared_service(state, name);
    remove_undeclared_services(state);
  }
  return {true, {}, {}, state.declared.version, state.declared_index};
}

} // namespace toucanmill
