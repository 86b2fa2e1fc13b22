#include "status_message.hpp"

#include <toucanmill/cluster/wire.hpp>

namespace toucanmill::detail
{

namespace
{

const node_liveness* find_liveness(const control_view& view, node_id id)
{
  for (const auto& live : view.liveness)
    if (live.id == id)
      return &live;
  return nullptr;
}

void write_nodes(schema::Status::Builder to, const control_view& view)
{
  auto list = to.initNodes(view.nodes.size());
  for (unsigned i = 0; i < view.nodes.size(); ++i)
  {
    const auto& record = view.nodes[i];
    const auto* live = find_liveness(view, record.identity.id);
    wire::write(list[i], record, live != nullptr ? *live : node_liveness{});
  }
}

void write_log_status(schema::Status::Builder to,
                      const replicated_log_status& log)
{
  to.setSelf(log.self.value);
  to.setLeader(log.leader ? log.leader->id.value : 0);
  to.setTerm(log.term);
  to.setCommitIndex(log.commit_index);
  to.setAppliedIndex(log.applied_index);
  to.setLastIndex(log.last_index);
  to.setSnapshotIndex(log.snapshot_index);
  auto group = to.initGroup(log.group.size());
  for (unsigned i = 0; i < log.group.size(); ++i)
  {
    wire::write(group[i], log.group[i]);
    for (const auto& [id, formats] : log.formats)
      if (id == log.group[i].id)
        wire::write_formats(group[i], formats);
  }
  to.setHalted(log.halted);
}

} // namespace

void write_status(schema::Status::Builder to, const control_view& view,
                  const replicated_log_status& log)
{
  write_log_status(to, log);
  write_nodes(to, view);
  to.setConfigurationVersion(view.configuration_version);
  to.setClaims(view.claims);
  to.setFormatVersion(view.format);
  const auto& names = view.held_back_by;
  auto held = to.initHeldBackBy(static_cast<unsigned>(names.size()));
  for (unsigned i = 0; i < held.size(); ++i)
    held.set(i, names[i]);
}

} // namespace toucanmill::detail
