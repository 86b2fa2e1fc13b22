#include "configuration_store.hpp"

#include <utility>

#include "applied_outcome.hpp"

namespace toucanmill::detail
{

void configuration_store::declare(configuration value, declare_callback done)
{
  log_.propose(
      encode(declare_configuration{std::move(value), state_.settled_index()}),
      [this, done](const result<std::string>& applied)
      {
        if (applied)
          done(read_change_outcome(applied.value()), {});
        else
          done(applied.error(), leader_hint(log_));
      });
}

void configuration_store::read(configuration_callback done)
{
  log_.confirm_read(
      [this, done](const result<table_version>& confirmed)
      {
        if (confirmed)
          done(state_.declared(), {});
        else
          done(confirmed.error(), leader_hint(log_));
      });
}

} // namespace toucanmill::detail
