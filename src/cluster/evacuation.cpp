#include "cluster_state.hpp"

#include <toucanmill/cluster/validation.hpp>

namespace toucanmill
{

result<bool> change_evacuation(cluster_state& state,
                               const set_evacuation& order)
{
  BOOST_OUTCOME_TRY(check_name("data centre", order.data_centre));
  const auto index = state.position.index;
  const bool changed =
      order.evacuated
          ? state.evacuations
                .try_emplace(order.data_centre,
                             evacuated_since{index, order.wall_clock})
                .second
          : state.evacuations.erase(order.data_centre) != 0;
  if (changed)
    state.evacuations_index = index;
  return changed;
}

change_outcome apply_evacuation(cluster_state& state,
                                const set_evacuation& value)
{
  const auto changed = change_evacuation(state, value);
  if (!changed)
    return {false, changed.error().code, changed.error().message,
            state.configuration_version, 0};
  if (changed.value())
    ++state.configuration_version;
  return {true, {}, {}, state.configuration_version, state.evacuations_index};
}

} // namespace toucanmill
