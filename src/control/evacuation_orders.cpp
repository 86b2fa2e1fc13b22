#include "evacuation_orders.hpp"

#include <utility>

#include "applied_outcome.hpp"
#include "leader_hint.hpp"
#include "wall_clock.hpp"

namespace toucanmill::detail
{

void evacuation_orders::set(std::string data_centre, bool evacuated,
                            declare_callback done)
{
  log_.confirm_read(
      [this, data_centre = std::move(data_centre), evacuated,
       done = std::move(done)](const result<table_version>& confirmed)
      {
        if (!confirmed)
          return done(confirmed.error(), leader_hint(log_));
        if (auto refusal = state_.refuse_unknown(data_centre))
          return done(std::move(*refusal), {});
        propose(data_centre, evacuated, done);
      });
}

void evacuation_orders::propose(const std::string& data_centre, bool evacuated,
                                const declare_callback& done)
{
  log_.propose(
      encode(set_evacuation{data_centre, evacuated, wall_clock_seconds()}),
      [this, done](const result<std::string>& applied)
      {
        if (applied)
          done(read_change_outcome(applied.value()), {});
        else
          done(applied.error(), leader_hint(log_));
      });
}

} // namespace toucanmill::detail
