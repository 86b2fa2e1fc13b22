#include "group_driver_test.hpp"

#include <algorithm>

#include "codec.hpp"
#include "frame.hpp"

namespace toucanmill::log_detail
{

namespace
{

constexpr duration step_time = std::chrono::milliseconds(10);
constexpr std::uint64_t entries_per_snapshot = 20;

/// Small, so that the tests cover several messages, chunks and segments.
constexpr std::size_t message_bytes = 300;

/// Makes requests with three commands or more large ones.
constexpr std::size_t large_message_bytes = 420;
constexpr std::uint64_t segment_bytes = 3000;

const std::string folder = "data";

// Simulated state machine: a short digest, padded so that a snapshot needs
// several chunks.
std::string state_after(const std::string& state, const log_entry& entry)
{
  const auto head = state.substr(0, 10) + to_string(entry.position) +
                    entry.payload + std::to_string(crc32c(state));
  return head + std::string(900, static_cast<char>('a' + head.size() % 26));
}

} // namespace

group_driver::group_driver(std::uint64_t seed, protocol_defects defects)
    : random_(seed), defects_(defects), size_(3 + seed % 3),
      long_partitions_(seed % 5 == 0), short_timeouts_(seed % 2 == 0)
{
  for (; next_id_ <= size_; ++next_id_)
    initial_.push_back({replica_id{next_id_},
                        {ipv4_address{1}, static_cast<std::uint16_t>(next_id_)},
                        true});
  for (const auto& address : initial_)
  {
    auto& replica = nodes_[address.id];
    replica.address = address;
    start(replica);
  }
}

bool group_driver::chance(double probability)
{
  return static_cast<double>(random_below(1000000)) < probability * 1e6;
}

std::uint64_t group_driver::random_below(std::uint64_t limit)
{
  return random_() % limit;
}

call_context group_driver::context_of(const node& replica)
{
  return {time_point{} + std::chrono::hours(1) + step_ * step_time +
              replica.clock_offset,
          random_()};
}

void group_driver::run(int steps)
{
  for (int i = 0; i < steps && violations_.empty(); ++i)
  {
    inject_random_faults();
    submit_operations();
    step();
  }
  if (violations_.empty())
    recover();
}

void group_driver::step()
{
  ++step_;
  deliver();
  for (auto& [id, replica] : nodes_)
  {
    if (!replica.core && !replica.wiped && step_ >= replica.restart_at)
      start(replica);
    if (!replica.core)
      continue;
    replica.core->tick(context_of(replica));
    process(replica);
    if (!faults_ || chance(0.5))
      persist_one(replica);
  }
  check();
}

void group_driver::start(node& replica)
{
  replica.files = std::make_unique<simulated_file_system>(replica.disk);
  auto store = log_store::open(*replica.files, folder, replica.address.id,
                               initial_, segment_bytes);
  if (!store)
    return add_violation("replica " + to_string(replica.address.id) +
                         " failed to start: " + store.error().message);
  replica.store = std::move(store.value());
  auto stored = replica.store->take_stored();
  replica.applied = stored.snapshot.position.index;
  replica.state = replica.store->take_snapshot_data();
  if (replica.applied != 0 && replica.state != states_[replica.applied - 1])
    add_violation("a restarted replica has a different state");
  replica_settings settings;
  settings.self = replica.address.id;
  settings.max_message_bytes = message_bytes;
  settings.max_messages_in_flight = 4;
  settings.large_message_bytes = large_message_bytes;
  settings.retained_entries = 5;
  settings.heartbeat_interval =
      short_timeouts_ ? 3 * step_time : 10 * step_time;
  settings.election_timeout = short_timeouts_ ? 10 * step_time : 60 * step_time;
  replica.core = std::make_unique<replica_core>(settings, std::move(stored),
                                                context_of(replica));
}

void group_driver::crash(node& replica)
{
  ++counts["crash"];
  replica.core.reset();
  replica.store.reset();
  replica.pending_persists.clear();
  replica.disk->crash(random_below(3) == 0 ? random_below(200) : 0);
  replica.restart_at =
      step_ + 1 + static_cast<int>(random_below(chance(0.5) ? 3 : 200));
}

void group_driver::process(node& replica)
{
  while (replica.core)
  {
    auto actions = replica.core->take_actions();
    if (actions.empty())
      break;
    for (auto& item : actions.messages)
      send(replica, item);
    for (const auto& entry : actions.apply)
      apply(replica, entry);
    for (const auto& read : actions.reads)
      finish_read(replica, read);
    if (actions.persist.empty())
      continue;
    replica.pending_persists.push_back(std::move(actions.persist));
    if (defects_.acknowledge_before_sync)
    {
      const auto& request = replica.pending_persists.back();
      if (request.snapshot)
        restore(replica, *request.snapshot);
      replica.core->persisted(request.sequence, context_of(replica));
    }
  }
  snapshot_if_due(replica);
}

void group_driver::persist_one(node& replica)
{
  if (!replica.core || replica.pending_persists.empty())
    return;
  auto request = std::move(replica.pending_persists.front());
  replica.pending_persists.pop_front();
  if (defects_.forget_votes && request.hard)
    request.hard = hard_state{0, {}, request.hard->may_vote};
  if (!replica.store->save(request))
    return crash(replica);
  if (defects_.acknowledge_before_sync)
    return;
  if (request.snapshot)
    restore(replica, *request.snapshot);
  replica.core->persisted(request.sequence, context_of(replica));
  process(replica);
  // Crashes more often after the hard state was persisted, so that a lost vote
  // would show.
  if (faults_ && request.hard && chance(0.2))
    crash(replica);
}

void group_driver::restore(node& replica, const received_snapshot& snapshot)
{
  ++counts["install"];
  replica.applied = snapshot.meta.position.index;
  replica.state = snapshot.data;
  if (replica.state != states_[replica.applied - 1])
    add_violation("an installed snapshot differs from the applied entries");
}

void group_driver::apply(node& replica, const log_entry& entry)
{
  const auto index = entry.position.index;
  if (index != replica.applied + 1)
    add_violation("entry " + std::to_string(index) + " applied after " +
                  std::to_string(replica.applied));
  replica.applied = index;
  replica.state = state_after(replica.state, entry);
  if (index > committed_.size())
  {
    committed_.push_back(entry);
    states_.push_back(replica.state);
    ++counts["commit"];
  }
  if (index > committed_.size() || !(committed_[index - 1] == entry))
    add_violation("replicas applied different entries " +
                  std::to_string(index));
  else if (states_[index - 1] != replica.state)
    add_violation("states differ after entry " + std::to_string(index));
  const auto proposal =
      proposals_.find({entry.position.term, entry.position.index});
  if (proposal != proposals_.end() && proposal->second == replica.address.id)
    acknowledged_ = std::max(acknowledged_, index);
}

void group_driver::finish_read(node& replica, const read_outcome& read)
{
  const auto found = reads_.find(read.id);
  if (found == reads_.end())
    return;
  ++counts[read.confirmed ? "read" : "refused read"];
  if (read.confirmed && replica.applied < found->second.acknowledged)
    add_violation("a read missed entry " +
                  std::to_string(found->second.acknowledged));
  reads_.erase(found);
}

void group_driver::snapshot_if_due(node& replica)
{
  if (!replica.core || !replica.pending_persists.empty() ||
      replica.applied <
          replica.core->snapshot().position.index + entries_per_snapshot)
    return;
  ++counts["snapshot"];
  const auto term = replica.core->log().term_at(replica.applied).value_or(0);
  const snapshot_meta meta{{term, replica.applied},
                           replica.core->group_at(replica.applied),
                           replica.state.size()};
  if (!replica.store->save_snapshot(meta, replica.state))
    return crash(replica);
  replica.core->compact(meta);
}

void group_driver::send(node& replica, outgoing_message& item)
{
  auto& message = item.message;
  if (message.kind == message_kind::snapshot_chunk)
  {
    auto data = replica.store->read_snapshot(message.index, message_bytes);
    if (data)
      message.data = std::move(data.value());
  }
  const auto bytes = encode(message);
  if (blocked_.count({replica.address.id, item.message.to}) != 0)
    return;
  if (faults_ && chance(0.03))
    return;
  for (int copies = faults_ && chance(0.03) ? 2 : 1; copies > 0; --copies)
  {
    const auto delay =
        faults_ && chance(0.02) ? random_below(100) : random_below(3);
    network_.emplace(step_ + 1 + static_cast<int>(delay),
                     std::make_pair(item.message.to, bytes));
  }
}

void group_driver::deliver()
{
  const auto end = network_.upper_bound(step_);
  std::vector<std::pair<replica_id, std::string>> due;
  for (auto it = network_.begin(); it != end; ++it)
    due.push_back(std::move(it->second));
  network_.erase(network_.begin(), end);
  std::shuffle(due.begin(), due.end(), random_);
  for (const auto& [to, bytes] : due)
  {
    const auto found = nodes_.find(to);
    if (found == nodes_.end() || !found->second.core)
      continue;
    const auto message = decode_message(bytes);
    if (!message)
      return add_violation("a sent message cannot be decoded");
    found->second.core->receive(message.value(), context_of(found->second));
    process(found->second);
  }
}

group_driver::node* group_driver::leader()
{
  node* best = nullptr;
  for (auto& [id, replica] : nodes_)
    if (replica.core && replica.core->role() == replica_role::leader &&
        (best == nullptr ||
         replica.core->hard().term > best->core->hard().term))
      best = &replica;
  return best;
}

void group_driver::add_violation(const std::string& text)
{
  violations_.push_back("step " + std::to_string(step_) + ": " + text);
}

void group_driver::check()
{
  for (const auto& [id, replica] : nodes_)
  {
    if (!replica.core || replica.core->role() != replica_role::leader)
      continue;
    const auto term = replica.core->hard().term;
    if (leaders_.emplace(term, id).first->second != id)
      add_violation("two leaders in term " + std::to_string(term));
  }
  if (step_ % 20 != 0)
    return;
  for (const auto& [left_id, left] : nodes_)
    for (const auto& [right_id, right] : nodes_)
      if (left_id < right_id && left.core && right.core)
        check_logs(left, right);
}

// Raft's log matching property: all entries up to the highest one with the same
// position in both logs are equal.
void group_driver::check_logs(const node& left, const node& right)
{
  const auto& a = left.core->log();
  const auto& b = right.core->log();
  bool same = false;
  for (auto i = std::min(a.last().index, b.last().index);
       i > std::max(a.base().index, b.base().index); --i)
  {
    const bool equal = a.at(i) == b.at(i);
    if ((same || a.at(i).position == b.at(i).position) && !equal)
      return add_violation(
          "logs differ at or below an entry with the same position");
    same = same || equal;
  }
}

} // namespace toucanmill::log_detail
