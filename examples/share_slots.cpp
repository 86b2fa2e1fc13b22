// Two requests compete for one slot; the second waits until it is released.

#include <iostream>

#include <toucanmill/agent/admission_core.hpp>

using namespace toucanmill;

int main()
{
  admission_options options;
  options.slots = 1;
  admission_core admission(options);
  const time_point now{};
  const auto deadline = now + std::chrono::seconds(1);

  admission.request(session_id{1}, deadline);
  admission.request(session_id{2}, deadline);
  std::cout << admission.queue_length() << " waits\n";
  for (const auto& change : admission.release(session_id{1}, now))
    std::cout << "session " << change.session.value << " has the slot\n";
}
