#include <toucanmill/control/node_client.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/cluster/wire.hpp>
#include <toucanmill/control/control_channel.hpp>
#include <toucanmill/control/rpc_loop.hpp>

namespace toucanmill
{

namespace
{

constexpr auto retry_pause = 50 * kj::MILLISECONDS;

/// Time without an answer after which control counts as unreachable.
constexpr duration unreachable_after = std::chrono::seconds(3);

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

/// A call that is repeated until it succeeds or its time is over.
struct pending_call
{
  /// Resolves to true when the leader decided; moves the channel on otherwise.
  std::function<kj::Promise<bool>(schema::Control::Client)> attempt;
  std::function<void()> give_up;
  time_point until;
};

/// State on the RPC thread.
class reporter
{
public:
  reporter(kj::AsyncIoContext& io, const node_client_options& options,
           const node_callbacks& callbacks, atomic_counters& counters)
      : io_(io), timer_(io.provider->getTimer()), options_(options),
        callbacks_(callbacks), counters_(counters),
        reports_(io, options.control), claims_(io, options.control),
        seeds_(options.control), last_answer_(monotonic_now()), tasks_(errors_)
  {
    tasks_.add(report_forever());
  }

  void report_now()
  {
    if (reporting_)
      report_again_ = true;
    else
      tasks_.add(report_once());
  }

  void set_control(std::vector<endpoint> endpoints)
  {
    seeds_ = std::move(endpoints);
    use_endpoints();
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

  kj::Promise<void> report_forever()
  {
    return report_once()
        .then(
            [this]
            {
              return timer_.afterDelay(to_kj(pause()));
            })
        .then(
            [this]
            {
              return report_forever();
            });
  }

  /// A group that lost its leader, or all of its power, elects another one in
  /// a moment; a long loss must not keep thousands of nodes asking often.
  duration pause() const
  {
    if (answered_)
      return options_.report_interval;
    return monotonic_now() - last_answer_ < options_.eager_time
               ? options_.eager_interval
               : options_.retry_interval;
  }

  kj::Promise<void> report_once()
  {
    reporting_ = true;
    answered_ = false;
    return reports_
        .limited(reports_.client().then(
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
            [this](kj::Exception&&)
            {
              reporting_ = false;
              ++counters_.failed_reports;
              reports_.move_on();
              check_reachable();
            });
  }

  kj::Promise<void> send_report(schema::Control::Client& control)
  {
    auto request = control.reportRequest();
    wire::write(request.initReport(), callbacks_.make_report());
    ++counters_.reports;
    counters_.octets_sent += request.totalSize().wordCount * 8;
    return request.send().then(
        [this, asked = monotonic_now()](auto&& response)
        {
          take_reply(response, asked);
        });
  }

  template <class Response>
  void take_reply(const Response& response, time_point asked)
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
    if (const auto update = wire::read(reply.getUpdate()))
    {
      callbacks_.on_update(update.value());
      callbacks_.on_confirmed(asked);
    }
    if (const auto order = wire::read(reply.getOrder()))
      callbacks_.on_order(order.value());
    if (reply.getLife() != 0 && callbacks_.on_known_life)
      callbacks_.on_known_life({reply.getLife()});
    take_members(reply.getMembers());
  }

  void take_members(capnp::List<schema::Endpoint>::Reader from)
  {
    std::vector<endpoint> members;
    for (const auto item : from)
      members.push_back(wire::read(item));
    if (members == members_)
      return;
    members_ = std::move(members);
    use_endpoints();
  }

  /// Members of the group that a leader named, then the seeds.
  void use_endpoints()
  {
    auto all = members_;
    for (const auto& seed : seeds_)
      if (std::find(all.begin(), all.end(), seed) == all.end())
        all.push_back(seed);
    if (all.empty())
      return;
    reports_.set_endpoints(all);
    claims_.set_endpoints(std::move(all));
  }

  void check_reachable()
  {
    if (monotonic_now() - last_answer_ > unreachable_after)
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
        .limited(claims_.client().then(
            [call](schema::Control::Client control)
            {
              return call->attempt(control);
            }))
        .catch_(
            [this](kj::Exception&&)
            {
              claims_.move_on();
              return false;
            })
        .then(
            [this, call](bool decided) -> kj::Promise<void>
            {
              return decided ? kj::READY_NOW : repeat(call);
            });
  }

  kj::Promise<void> repeat(const std::shared_ptr<pending_call>& call)
  {
    if (monotonic_now() >= call->until)
    {
      ++counters_.failed_claims;
      call->give_up();
      return kj::READY_NOW;
    }
    return timer_.afterDelay(retry_pause)
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
  std::vector<endpoint> seeds_;
  std::vector<endpoint> members_; ///< as the latest reply named them
  time_point last_answer_;
  bool reachable_ = true;
  bool reporting_ = false;
  bool report_again_ = false;
  bool answered_ = false; ///< by a leader, the latest report
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
    call->until = monotonic_now() + options_.claim_limit;
    call->attempt = [attempt, done](schema::Control::Client control)
    {
      return attempt(control, done);
    };
    call->give_up = [done, failure]
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

  /// True when the response came from the leader.
  template <class Response>
  bool led(const Response& response)
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
          if (!led(response))
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
          if (!led(response))
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
