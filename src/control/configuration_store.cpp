#include "configuration_store.hpp"

#include <utility>

namespace toucanmill::detail
{

namespace
{

result<change_outcome> read_outcome(const std::string& applied)
{
  const auto decoded = decode_command_outcome(applied);
  if (!decoded)
    return decoded.error();
  if (const auto* outcome = std::get_if<change_outcome>(&decoded.value()))
    return *outcome;
  return error{error_code::corrupt_data,
               "log returned the outcome of a different command"};
}

} // namespace

void configuration_store::declare(configuration value, declare_callback done)
{
  log_.propose(encode(declare_configuration{std::move(value)}),
               [this, done](const result<std::string>& applied)
               {
                 if (applied)
                   done(read_outcome(applied.value()), {});
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
