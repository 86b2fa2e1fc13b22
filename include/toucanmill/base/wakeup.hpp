#ifndef TOUCANMILL_BASE_WAKEUP_HPP
#define TOUCANMILL_BASE_WAKEUP_HPP

namespace toucanmill
{

/// File descriptor (eventfd) that one thread signals and another polls, so that
/// a consumer of a ring can sleep.
class wakeup
{
public:
  wakeup();
  ~wakeup();
  wakeup(const wakeup&) = delete;
  wakeup& operator=(const wakeup&) = delete;

  /// Readable after signal() until drain().
  int descriptor() const
  {
    return descriptor_;
  }
  void signal() const;
  void drain() const;

private:
  int descriptor_;
};

} // namespace toucanmill

#endif
