#include <toucanmill/control/node_client.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/cluster/wire.hpp>
#include <toucanmill/control/control_channel.hpp>
#include <toucanmill/control/rpc_loop.hpp>

#include "flow_list_client.hpp"

namespace toucanmill
{

namespace
{

constexpr auto claim_retry_delay = 50 * kj::MILLISECONDS;

/// Time without an answer after which control is considered unreachable; equals
/// the default of membership_options::lease.
constexpr duration unreachable_timeout = std::chrono::seconds(3);

error unavailable(const char* what)
{
  return error{error_code::unavailable,
               std::string("no control instance ") + what + " in time"};
}

kj::Duration to_kj(duration value)
{
  return value.count() * kj::MICROSECONDS;
}

struct atomic_counters
{
  std::atomic<std::uint64_t> reports{0};
  std::atomic<std::uint64_t> failed_reports{0};
  std::atomic<std::uint64_t> octets_sent{0};
  std::atomic<std::uint64_t> octets_received{0};
  std::atomic<std::uint64_t> failed_claims{0};
};

/// Call that is retried until the leader decides it or the deadline passes.
struct pending_call
{
  /// Resolves to true if the leader decided, and to false if the call must be
  /// retried; a not-leader reply redirects the channel.
  std::function<kj::Promise<bool>(schema::Control::Client)> attempt;
  std::function<void()> on_timeout;
  time_point deadline;
};

/// Sends reports and claims; used on the RPC thread only.
class reporter
{
public:
  reporter(kj::AsyncIoContext& io, const node_client_options& options,
           const node_callbacks& callbacks, atomic_counters& counters)
      : io_(io), timer_(io.provider->getTimer()), options_(options),
        callbacks_(callbacks), counters_(counters),
        reports_(io, options.control), claims_(io, options.control),
        flow_lists_(io, callbacks), seeds_(options.control),
        last_answer_(monotonic_now()), tasks_(errors_)
  {
    tasks_.add(report_periodically());
  }

  void report_now()
  {
    tasks_.add(report_once());
  }

  void set_control(std::vector<endpoint> endpoints)
  {
    seeds_ = std::move(endpoints);
    update_endpoints();
  }

  void run(std::shared_ptr<pending_call> call)
  {
    tasks_.add(attempt(std::move(call)));
  }

private:
  struct error_handler final : kj::TaskSet::ErrorHandler
  {
    void taskFailed(kj::Exception&&) override {}
  };

  kj::Promise<void> report_periodically()
  {
    return (reporting_ ? kj::Promise<void>(kj::READY_NOW) : report_once())
        .then(
            [this]
            {
              return timer_.afterDelay(to_kj(next_report_delay()));
            })
        .then(
            [this]
            {
              return report_periodically();
            });
  }

  /// Delay before the next report. Retries are fast at first because a group
  /// that lost its leader or its power soon elects a new one, then slower so
  /// that thousands of nodes do not overload control during a long outage.
  duration next_report_delay() const
  {
    if (answered_)
      return options_.report_interval;
    return monotonic_now() - last_answer_ < options_.fast_retry_period
               ? options_.fast_retry_interval
               : options_.retry_interval;
  }

  /// Does nothing while a report is under way; the next one then follows its
  /// answer.
  kj::Promise<void> report_once()
  {
    if (reporting_)
    {
      report_again_ = true;
      return kj::READY_NOW;
    }
    reporting_ = true;
    report_again_ = false;
    answered_ = false;
    return reports_
        .with_timeout(reports_.client().then(
            [this](schema::Control::Client control)
            {
              return send_report(control);
            }))
        .then(
            [this]
            {
              reporting_ = false;
              if (std::exchange(report_again_, false))
                tasks_.add(report_once());
            },
            [this, used = reports_.generation()](kj::Exception&&)
            {
              reporting_ = false;
              ++counters_.failed_reports;
              reports_.select_next_instance(used);
              check_reachable();
            });
  }

  kj::Promise<void> send_report(schema::Control::Client& control)
  {
    auto request = control.reportRequest();
    auto report = callbacks_.make_report();
    report.formats = this_build();
    node_ = report.identity.id;
    wire::write(request.initReport(), report);
    ++counters_.reports;
    counters_.octets_sent += request.totalSize().wordCount * 8;
    return request.send().then(
        [this, sent_at = monotonic_now()](auto&& response)
        {
          handle_reply(response, sent_at);
        });
  }

  template <class Response>
  void handle_reply(const Response& response, time_point sent_at)
  {
    if (response.hasNotLeader())
    {
      ++counters_.failed_reports;
      reports_.redirect(wire::read(response.getNotLeader().getHint()));
      return check_reachable();
    }
    const auto reply = response.getReply();
    counters_.octets_received += response.totalSize().wordCount * 8;
    last_answer_ = monotonic_now();
    answered_ = true;
    set_reachable(true);
    if (auto update = wire::read(reply.getUpdate()))
    {
      update.value().former_marked = reply.getFormerMarked();
      callbacks_.on_update(update.value());
      callbacks_.on_confirmed(sent_at);
    }
    if (const auto order = wire::read(reply.getOrder()))
      callbacks_.on_order(order.value());
    if (reply.getLife() != 0 && callbacks_.on_known_life)
      callbacks_.on_known_life({reply.getLife()});
    update_members(reply.getMembers());
    flow_lists_.on_answer();
  }

  void update_members(capnp::List<schema::Endpoint>::Reader from)
  {
    std::vector<endpoint> members;
    for (const auto item : from)
      members.push_back(wire::read(item));
    if (members == members_)
      return;
    members_ = std::move(members);
    update_endpoints();
  }

  /// Uses the group members named by the leader, followed by the seeds.
  void update_endpoints()
  {
    auto all = members_;
    for (const auto& seed : seeds_)
      if (std::find(all.begin(), all.end(), seed) == all.end())
        all.push_back(seed);
    if (all.empty())
      return;
    flow_lists_.set_instances(all, node_);
    reports_.set_endpoints(all);
    claims_.set_endpoints(std::move(all));
  }

  void check_reachable()
  {
    if (monotonic_now() - last_answer_ > unreachable_timeout)
      set_reachable(false);
  }

  void set_reachable(bool reachable)
  {
    if (reachable == reachable_)
      return;
    reachable_ = reachable;
    callbacks_.on_reachable(reachable);
  }

  kj::Promise<void> attempt(std::shared_ptr<pending_call> call)
  {
    return claims_
        .with_timeout(claims_.client().then(
            [call](schema::Control::Client control)
            {
              return call->attempt(control);
            }))
        .catch_(
            [this, used = claims_.generation()](kj::Exception&&)
            {
              claims_.select_next_instance(used);
              return false;
            })
        .then(
            [this, call](bool decided) -> kj::Promise<void>
            {
              return decided ? kj::READY_NOW : retry_or_time_out(call);
            });
  }

  kj::Promise<void> retry_or_time_out(const std::shared_ptr<pending_call>& call)
  {
    if (monotonic_now() >= call->deadline)
    {
      ++counters_.failed_claims;
      call->on_timeout();
      return kj::READY_NOW;
    }
    return timer_.afterDelay(claim_retry_delay)
        .then(
            [this, call]
            {
              return attempt(call);
            });
  }

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  const node_client_options& options_;
  const node_callbacks& callbacks_;
  atomic_counters& counters_;
  control_channel reports_;
  control_channel claims_;
  detail::flow_list_client flow_lists_;
  node_id node_; ///< of the latest report
  std::vector<endpoint> seeds_;
  std::vector<endpoint> members_; ///< from the latest reply
  time_point last_answer_;
  bool reachable_ = true;
  bool reporting_ = false;
  bool report_again_ = false;
  bool answered_ = false; ///< a leader answered the latest report
  error_handler errors_;
  kj::TaskSet tasks_;

public:
  control_channel& claims()
  {
    return claims_;
  }
};

void write_claim(schema::Claim::Builder to, const claim_key& key, claim_id id)
{
  wire::write(to, claim_request{key, id, {}, 0});
}

class node_client_thread final : public node_client
{
public:
  node_client_thread(node_client_options options, node_callbacks callbacks)
      : options_(std::move(options)), callbacks_(std::move(callbacks))
  {
    loop_.start(
        [this](kj::AsyncIoContext& io) -> kj::Own<void>
        {
          auto owned = kj::heap<reporter>(io, options_, callbacks_, counters_);
          reporter_ = owned.get();
          return owned;
        });
  }

  ~node_client_thread() override
  {
    loop_.stop();
  }

  void claim(claim_request request, claim_callback done) override
  {
    run(
        [this, request](schema::Control::Client control, auto finish)
        {
          return send_claim(control, request, finish);
        },
        [done](result<claim_outcome> outcome)
        {
          done(std::move(outcome));
        },
        error_result<claim_outcome>("decided the claim"));
  }

  void complete(claim_completion completion, done_callback done) override
  {
    run(
        [this, completion](schema::Control::Client control, auto finish)
        {
          return send_completion(control, completion, finish);
        },
        done, error_result<void>("stored the answer"));
  }

  void release(claim_release release, done_callback done) override
  {
    run(
        [this, release](schema::Control::Client control, auto finish)
        {
          return send_release(control, release, finish);
        },
        done, error_result<void>("released the claim"));
  }

  void report_now() override
  {
    loop_.post(
        [this](kj::AsyncIoContext&)
        {
          reporter_->report_now();
        });
  }

  void set_control(std::vector<endpoint> endpoints) override
  {
    loop_.post(
        [this, endpoints = std::move(endpoints)](kj::AsyncIoContext&)
        {
          reporter_->set_control(endpoints);
        });
  }

  node_client_counters counters() const override
  {
    return {counters_.reports, counters_.failed_reports, counters_.octets_sent,
            counters_.octets_received, counters_.failed_claims};
  }

private:
  template <class T>
  static result<T> error_result(const char* what)
  {
    return unavailable(what);
  }

  template <class Attempt, class Done, class T>
  void run(Attempt attempt, Done done, result<T> failure)
  {
    auto call = std::make_shared<pending_call>();
    call->deadline = monotonic_now() + options_.claim_timeout;
    call->attempt = [attempt, done](schema::Control::Client control)
    {
      return attempt(control, done);
    };
    call->on_timeout = [done, failure]
    {
      done(failure);
    };
    if (!loop_.post(
            [this, call](kj::AsyncIoContext&)
            {
              reporter_->run(call);
            }))
      done(failure);
  }

  /// Returns true if the leader answered; otherwise redirects the channel.
  template <class Response>
  bool is_from_leader(const Response& response)
  {
    if (!response.hasNotLeader())
      return true;
    reporter_->claims().redirect(wire::read(response.getNotLeader().getHint()));
    return false;
  }

  template <class Finish>
  kj::Promise<bool> send_claim(schema::Control::Client& control,
                               const claim_request& claim, Finish finish)
  {
    auto request = control.claimRequest();
    wire::write(request.initClaim(), claim);
    return request.send().then(
        [this, finish](auto&& response)
        {
          if (!is_from_leader(response))
            return false;
          const auto verdict = wire::read(response.getVerdict());
          if (!verdict)
            return false;
          const auto answer = response.getAnswer().asChars();
          finish(claim_outcome{verdict.value(),
                               std::string(answer.begin(), answer.end())});
          return true;
        });
  }

  template <class Finish>
  kj::Promise<bool> send_completion(schema::Control::Client& control,
                                    const claim_completion& completion,
                                    Finish finish)
  {
    auto request = control.completeRequest();
    write_claim(request.initClaim(), completion.key, completion.claim);
    request.setAnswer(
        kj::StringPtr(completion.answer.c_str(), completion.answer.size())
            .asBytes());
    return finish_on_answer(request, finish);
  }

  template <class Finish>
  kj::Promise<bool> send_release(schema::Control::Client& control,
                                 const claim_release& release, Finish finish)
  {
    auto request = control.releaseRequest();
    write_claim(request.initClaim(), release.key, release.claim);
    return finish_on_answer(request, finish);
  }

  template <class Request, class Finish>
  kj::Promise<bool> finish_on_answer(Request& request, Finish finish)
  {
    return request.send().then(
        [this, finish](auto&& response)
        {
          if (!is_from_leader(response))
            return false;
          finish(outcome::success());
          return true;
        });
  }

  node_client_options options_;
  node_callbacks callbacks_;
  atomic_counters counters_;
  rpc_loop loop_;
  reporter* reporter_ = nullptr; ///< used on the RPC thread only
};

} // namespace

std::unique_ptr<node_client> node_client::start(node_client_options options,
                                                node_callbacks callbacks)
{
  return std::make_unique<node_client_thread>(std::move(options),
                                              std::move(callbacks));
}

} // namespace toucanmill
