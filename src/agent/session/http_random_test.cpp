#include "session_driver_test.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include <toucanmill/agent/admission_core.hpp>

#include "../random_seeds_test.hpp"
#include "http_message_core.hpp"

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t default_seeds = 1000;
constexpr std::size_t session_count = 5;
constexpr std::size_t requests_per_session = 6;
constexpr std::size_t key_count = 4;

struct stored_claim
{
  std::uint64_t owner = 0; ///< claim id
  request_digest digest{};
  bool completed = false;
  std::string answer;
};

/// One caller with its session, its upstream connection and the inputs in
/// flight to the session.
struct simulated_caller
{
  explicit simulated_caller(retry_budget& budget)
      : driver(make_http_session({}, budget))
  {
  }

  session_driver driver;
  std::vector<std::string> targets; ///< of all requests, in order
  std::deque<session_input> from_caller;
  std::deque<session_input> from_upstream;
  std::deque<session_input> from_control;
  std::optional<detail::request_reader> request; ///< as parsed by the upstream
  std::string unread_request;
  std::uint64_t claim = 0;
  bool repeat_claim = false;
  bool disconnected = false;
  std::size_t outcomes = 0;   ///< number of requests with an outcome
  std::set<std::size_t> sent; ///< requests of which the upstream received bytes
};

/// Simulates the sessions of one agent with an upstream, a claim store and
/// callers, all of which fail at random. Targets are unique, except for
/// requests with an idempotency key.
class http_simulation
{
public:
  explicit http_simulation(std::uint64_t seed) : random_(seed)
  {
    for (std::size_t i = 0; i < session_count; ++i)
      add_caller();
  }

  /// Returns the violated guarantees.
  std::set<std::string> run()
  {
    while (step() || disconnect_waiting_caller())
      continue;
    for (const auto& caller : callers_)
      check_caller(*caller);
    for (const auto& [target, count] : runs_)
      require(count <= 1 || target[1] == 'g', "at most one run of " + target);
    require(admission_.slots_in_use() == 0, "all slots are released");
    return violations_;
  }

private:
  bool chance(unsigned percent)
  {
    return random_() % 100 < percent;
  }

  void require(bool condition, const std::string& guarantee)
  {
    if (!condition)
      violations_.insert(guarantee);
  }

  /// Queues the bytes in pieces of random size.
  void enqueue(std::deque<session_input>& queue, const std::string& bytes,
               bool from_upstream)
  {
    for (std::size_t at = 0; at < bytes.size();)
    {
      const auto size = 1 + random_() % (chance(30) ? 5 : 400);
      const auto part = bytes.substr(at, size);
      queue.push_back(from_upstream ? session_input(upstream_bytes{part})
                                    : session_input(caller_bytes{part}));
      at += size;
    }
  }

  // Callers.
  void add_caller()
  {
    callers_.push_back(std::make_unique<simulated_caller>(budget_));
    auto& caller = *callers_.back();
    for (std::size_t i = 0; i < requests_per_session; ++i)
      enqueue(caller.from_caller, make_request(caller), false);
    if (chance(30))
      caller.from_caller.push_back(caller_finished{});
    if (chance(20))
      caller.from_caller.insert(
          caller.from_caller.begin() +
              static_cast<long>(random_() % caller.from_caller.size()),
          caller_disconnected{});
    if (chance(20))
      caller.from_control.push_back(drain_started{});
  }

  std::string make_request(simulated_caller& caller)
  {
    const auto kind = "gpk"[random_() % 3];
    const auto number = kind == 'k' ? random_() % key_count : 100 + next_++;
    caller.targets.push_back("/" + (kind + std::to_string(number)));
    std::string request = (kind == 'g' ? "GET " : "POST ") +
                          caller.targets.back() + " HTTP/1.1\r\nHost: a\r\n";
    if (kind == 'k')
      request += "Idempotency-Key: " + std::to_string(number) + "\r\n";
    if (chance(40))
      request += "Toucanmill-Deadline-Ms: 300\r\n";
    if (kind == 'g')
      return request + "\r\n";
    return request + (chance(50) ? "Content-Length: 5\r\n\r\nm=123"
                                 : "Transfer-Encoding: chunked\r\n\r\n"
                                   "5\r\nm=123\r\n0\r\n\r\n");
  }

  // Scheduling.
  bool step()
  {
    std::vector<std::pair<simulated_caller*, std::deque<session_input>*>> ready;
    for (const auto& caller : callers_)
      for (auto* const queue : {&caller->from_caller, &caller->from_upstream,
                                &caller->from_control})
        if (!queue->empty() && !caller->disconnected)
          ready.emplace_back(caller.get(), queue);
    if (ready.empty() || chance(1))
      return advance_time() || !ready.empty();
    const auto [caller, queue] = ready[random_() % ready.size()];
    const auto input = std::move(queue->front());
    queue->pop_front();
    caller->disconnected |= std::holds_alternative<caller_disconnected>(input);
    deliver(*caller, input);
    return true;
  }

  bool advance_time()
  {
    auto next = admission_.next_deadline();
    for (const auto& caller : callers_)
      if (const auto timer = caller->driver.timer;
          timer && !caller->disconnected)
        next = next ? std::min(*next, *timer) : *timer;
    if (!next)
      return false;
    now_ = std::max(now_, *next);
    on_admission_changes(admission_.expire(now_));
    for (const auto& caller : callers_)
      if (caller->driver.timer && *caller->driver.timer <= now_)
      {
        caller->driver.timer.reset();
        deliver(*caller, timer_expired{});
      }
    return true;
  }

  /// Disconnects a caller whose request the upstream never answers.
  bool disconnect_waiting_caller()
  {
    for (const auto& caller : callers_)
      if (caller->driver.session->busy() && !caller->disconnected)
      {
        caller->from_caller = {caller_disconnected{}};
        return true;
      }
    return false;
  }

  void deliver(simulated_caller& caller, const session_input& input)
  {
    caller.driver.now = now_;
    for (const auto& action : caller.driver.handle(input))
      std::visit(
          [this, &caller](const auto& value)
          {
            on(caller, value);
          },
          action);
  }

  template <class Action>
  void on(simulated_caller&, const Action&)
  {
  }

  void on(simulated_caller& caller, const count_event& value)
  {
    caller.outcomes += has_outcome(value.event);
  }

  // Slots.
  session_id id_of(const simulated_caller& caller) const
  {
    for (std::size_t i = 0; i < callers_.size(); ++i)
      if (callers_[i].get() == &caller)
        return session_id{i};
    return session_id{session_count};
  }

  void on(simulated_caller& caller, const request_slot& value)
  {
    const auto decision = admission_.request(id_of(caller), value.deadline);
    if (decision == admission_answer::granted)
      caller.from_control.push_back(slot_granted{});
    if (decision == admission_answer::refused)
      caller.from_control.push_back(slot_refused{1s});
  }

  void on(simulated_caller& caller, const release_slot&)
  {
    on_admission_changes(admission_.release(id_of(caller), now_));
  }

  void on_admission_changes(const std::vector<admission_change>& changes)
  {
    for (const auto& [session, granted] : changes)
      callers_[session.value]->from_control.push_back(
          granted ? session_input(slot_granted{})
                  : session_input(slot_refused{1s}));
  }

  // Claim store.
  void on(simulated_caller& caller, const request_claim& value)
  {
    if (!caller.repeat_claim)
      caller.claim = ++last_claim_;
    claim_decided decided{claim_status::unavailable, {}};
    if (!chance(15))
      decided = decide(caller.claim, value);
    if (chance(15))
      decided = {claim_status::unavailable, {}};
    caller.repeat_claim = decided.status == claim_status::unavailable;
    caller.from_control.push_back(decided);
  }

  claim_decided decide(std::uint64_t claim, const request_claim& value)
  {
    const auto [found, added] =
        claims_.emplace(value.key, stored_claim{claim, value.digest, {}, {}});
    const auto& stored = found->second;
    if (stored.digest != value.digest)
      return {claim_status::different_request, {}};
    if (stored.completed)
      return {claim_status::completed, stored.answer};
    return {stored.owner == claim ? claim_status::granted
                                  : claim_status::in_progress,
            {}};
  }

  stored_claim* claim_of(const simulated_caller& caller)
  {
    for (auto& [key, stored] : claims_)
      if (stored.owner == caller.claim && !stored.completed)
        return &stored;
    return nullptr;
  }

  void on(simulated_caller& caller, const record_answer& value)
  {
    const bool stored = chance(85);
    if (auto* const claim = claim_of(caller); claim != nullptr && stored)
    {
      claim->completed = true;
      claim->answer = value.answer;
    }
    caller.from_control.push_back(claim_recorded{stored && chance(90)});
  }

  void on(simulated_caller& caller, const release_claim&)
  {
    caller.repeat_claim = false;
    if (chance(80))
      for (auto it = claims_.begin(); it != claims_.end();)
        it = it->second.owner == caller.claim && !it->second.completed
                 ? claims_.erase(it)
                 : std::next(it);
  }

  // Upstream.
  void on(simulated_caller& caller, const connect_upstream&)
  {
    caller.request.emplace(16384);
    caller.unread_request.clear();
    caller.from_upstream.clear();
    if (chance(8))
      caller.from_upstream.push_back(upstream_refused{});
    else
      caller.from_upstream.push_back(upstream_connected{});
  }

  void on(simulated_caller& caller, const close_upstream&)
  {
    caller.request.reset();
    caller.from_upstream.clear();
  }

  void on(simulated_caller& caller, const send_to_upstream& value)
  {
    caller.sent.insert(caller.outcomes);
    if (!caller.request)
      return;
    auto& request = *caller.request;
    auto& unread = caller.unread_request;
    unread += value.bytes;
    unread.erase(0, request.read_head(unread));
    if (request.state() == detail::parse_state::head_complete)
      unread.erase(0, request.read_body(unread));
    const bool complete = request.state() == detail::parse_state::complete;
    if (!complete && !chance(5))
      return;
    if (complete)
      run_request(caller, std::string(request.head().target()));
    else
      caller.from_upstream.push_back(upstream_disconnected{});
    caller.request.reset();
  }

  void run_request(simulated_caller& caller, const std::string& target)
  {
    ++runs_[target];
    const auto body = target + "#" + std::to_string(next_++) +
                      std::string(random_() % 2000, 'x');
    bodies_.insert(body);
    if (chance(10))
      return caller.from_upstream.push_back(upstream_disconnected{});
    if (chance(5))
      return; // No response; the deadline or the caller ends the request.
    auto response = make_response(body);
    const bool truncated = chance(10);
    if (truncated)
      response.resize(random_() % response.size());
    enqueue(caller.from_upstream, response, true);
    const bool delimited =
        response.find("\r\n\r\n" + target) == std::string::npos ||
        response.find("Length") != std::string::npos;
    if (!truncated && delimited && chance(10))
      enqueue(caller.from_upstream, "HTTP/1.1 200 OK\r\n\r\nlate", true);
    if (truncated)
      caller.from_upstream.push_back(upstream_disconnected{});
    else
      caller.from_upstream.push_back(upstream_finished{});
  }

  std::string make_response(const std::string& body)
  {
    const std::string head = chance(20) ? "HTTP/1.1 103 Hints\r\n\r\n" : "";
    const auto size = body.size();
    if (chance(40))
      return head +
             "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
             "\r\n\r\n" + body;
    if (chance(30))
      return head + "HTTP/1.1 200 OK\r\n\r\n" + body;
    char length[20];
    std::snprintf(length, sizeof length, "%zx", size);
    return head + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
           length + "\r\n" + body + "\r\n0\r\n\r\n";
  }

  // Responses at the callers.
  void check_caller(simulated_caller& caller)
  {
    auto& driver = caller.driver;
    std::string_view rest = driver.to_caller;
    std::size_t number = 0;
    while (!rest.empty())
      if (!check_response(caller, rest, number))
        break;
    require(driver.open_upstreams == 0, "upstream connections are closed");
    require(caller.outcomes == number || caller.disconnected,
            "one response for each request with an outcome");
  }

  static bool has_outcome(request_event event)
  {
    return event == request_event::completed ||
           event == request_event::replayed ||
           event == request_event::unknown_upstream_gone ||
           event == request_event::unknown_deadline ||
           event < request_event::replayed;
  }

  /// Returns false if the rest is a truncated response.
  bool check_response(simulated_caller& caller, std::string_view& rest,
                      std::size_t& number)
  {
    detail::response_reader response(65536);
    response.keep_body(100000);
    rest.remove_prefix(response.read_head(rest));
    rest.remove_prefix(response.read_body(rest));
    if (caller.driver.end == caller_end::finished)
      response.finish();
    if (response.state() != detail::parse_state::complete)
    {
      require(was_interrupted(caller),
              "the caller detects a truncated response");
      return false;
    }
    if (response.head().result_int() / 100 != 1)
      check_final_response(caller, response, number++);
    return true;
  }

  static bool was_interrupted(const simulated_caller& caller)
  {
    return caller.disconnected || caller.driver.end == caller_end::reset;
  }

  void check_final_response(const simulated_caller& caller,
                            const detail::response_reader& response,
                            std::size_t number)
  {
    const auto& target = caller.targets.at(number);
    const auto outcome = std::string(response.head()["Toucanmill-Outcome"]);
    if (outcome == "not-run")
      require(caller.sent.count(number) == 0,
              "nothing sent before 'not run' of " + target);
    if (!outcome.empty())
      return;
    const auto& body = response.body().bytes;
    require(bodies_.count(body) != 0, "complete response to " + target);
    require(body.compare(0, target.size() + 1, target + "#") == 0,
            "response belongs to " + target);
  }

  std::mt19937_64 random_;
  time_point now_;
  retry_budget budget_{0.1};
  admission_core admission_{{2, 2, 1s}};
  std::vector<std::unique_ptr<simulated_caller>> callers_;
  std::map<std::string, stored_claim> claims_;
  std::uint64_t last_claim_ = 0;
  std::uint64_t next_ = 0;
  std::map<std::string, int> runs_; ///< for each target
  std::set<std::string> bodies_;
  std::set<std::string> violations_;
};

} // namespace

TEST_GROUP(http_random){};

// Guards against second runs, wrong "not run" outcomes, and truncated, mixed or
// swapped responses when failures occur at any point.
TEST(http_random, outcomes_hold_under_failures)
{
  const auto count = test::seed_count(default_seeds);
  for (std::uint64_t seed = 1; seed <= count; ++seed)
    for (const auto& violation : http_simulation(seed).run())
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
}
