// The upstreams of list_model, and their announcements.

#include "relay_list_model_test.hpp"

namespace toucanmill::relay_test
{

void list_model::start_upstream(node& at)
{
  ++at.start;
  at.born_ms = announces_birth_ ? wall_clock_ms() : 0;
  at.sequence = 0;
  at.held.clear();
  at.runs_from = at.next_announcement =
      now_ + std::chrono::milliseconds(chance(2) ? random_() % 1'500 : 0);
}

void list_model::announce(node& at)
{
  at.next_announcement = now_ + announcement_interval;
  auto value =
      announcement(++at.sequence, "i-" + std::to_string(at.start), at.born_ms);
  value.slots = 1000;
  const bool lost = chance(20);
  if (!lost)
    deliver(at, value);
  if (!chance(10) || (lost && value.sequence == first_announcement))
    return;
  // A late copy. One of the first does not outlive the agent's process, which
  // closes the connection.
  if (flaw_ == list_flaw::late_announcements_count_as_first)
    value.sequence = first_announcement;
  const auto delay = std::chrono::milliseconds(random_() % 5'000);
  if (flaw_ == list_flaw::late_announcements_state_a_later_birth)
    value = announcement(first_announcement, "i-0", wall_clock_ms() + 5'000);
  due_.emplace(now_ + delay,
               [this, &at, value, process = at.process]
               {
                 if (value.sequence != first_announcement ||
                     process == at.process ||
                     flaw_ == list_flaw::late_announcements_count_as_first)
                   deliver(at, value);
               });
}

void list_model::deliver(node& at, const upstream_announcement& value)
{
  at.agent->announce(value, wall_clock_ms(), now_, *at.sink);
}

void list_model::on_deliver(node& at, std::size_t id, std::uint32_t tag)
{
  const auto port = packets_[id].fields.source.port;
  if (packets_[id].fields.opens)
    at.denied.erase(port);
  at.openings[port] += packets_[id].fields.opens ? 1 : 0;
  const visit_state sent{at.process, at.start, at.agent->upstream().life(),
                         at.openings[port]};
  later(
      [this, &at, id, tag, sent]
      {
        on_delivered(at, id, tag, sent);
      });
}

void list_model::on_delivered(node& at, std::size_t id, std::uint32_t tag,
                              const visit_state& sent)
{
  const auto [fields, generation] = packets_[id];
  const auto port = fields.source.port;
  if (now_ < at.runs_from)
    return;
  note_arrival(at, port, generation, fields.opens);
  auto found = at.held.find(port);
  if (fields.opens && generation == callers_[port].generation)
  {
    if (found == at.held.end())
      at.held[port] = {generation, static_cast<std::uint32_t>(random_())};
    return respond(at, fields, generation);
  }
  if (found != at.held.end() && found->second.generation == generation)
    return respond(at, fields, generation);
  if (found != at.held.end() || flaw_ == list_flaw::returned_packets_are_lost)
    return;
  ++seen.returned;
  const auto body = add(fields, generation);
  later(
      [this, &at, fields = fields, tag, body, port, sent]
      {
        at.agent->on_upstream_packet({body.data(), body.size()},
                                     bounced(fields, tag), now_, *at.sink);
        const visit_state present{at.process, at.start,
                                  at.agent->upstream().life(),
                                  at.openings[port]};
        if (at.held.count(port) == 0 && sent == present && !fields.opens)
          at.denied.insert(port);
      });
}

void list_model::respond(node& at, const flow_packet& fields,
                         std::uint32_t generation)
{
  auto& flow = at.held[fields.source.port];
  auto response = answer(fields);
  response.sequence = flow.next;
  response.accepts = fields.opens;
  response.acknowledges = true;
  response.payload_size = fields.opens ? 0 : 1200;
  flow.next += response.payload_size;
  at.denied.erase(fields.source.port);
  const auto body = add(response, generation);
  at.agent->on_upstream_packet({body.data(), body.size()}, response, now_,
                               *at.sink);
}

} // namespace toucanmill::relay_test
