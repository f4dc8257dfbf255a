#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

#include "budget/memorybudget.h"
#include "kernel/counters.h"

namespace heatherdeal::http {

/// The bytes and connections that all listeners and clients of a process share.
/// Thread-safe.
class ProcessBudget : public std::enable_shared_from_this<ProcessBudget>
{
public:
  ProcessBudget(kernel::Counters& aMetrics,
                const budget::BudgetLimits& aLimits);

  /// Bytes of the budget; returned when it is destroyed.
  class Reservation
  {
  public:
    explicit Reservation(std::shared_ptr<ProcessBudget> aBudget)
      : m_budget(std::move(aBudget))
    {
    }
    ~Reservation() { (void)TryResize(0); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// Returns false and changes nothing if the budget has no room.
    bool TryResize(uint64_t aBytes);
    uint64_t Bytes() const { return m_bytes; }

  private:
    std::shared_ptr<ProcessBudget> m_budget;
    uint64_t m_bytes = 0;
  };

  /// Counts an incoming connection for the lifetime of this object.
  class IncomingConnection
  {
  public:
    /// aOnGiveWay is called from any thread if the connection has to give way.
    IncomingConnection(std::shared_ptr<ProcessBudget> aBudget,
                       std::function<void()> aOnGiveWay);
    ~IncomingConnection();
    IncomingConnection(const IncomingConnection&) = delete;
    IncomingConnection& operator=(const IncomingConnection&) = delete;

    /// A connection that was to give way keeps open if it begins something
    /// else before it has closed.
    void BeginActivity(budget::ConnectionActivity aActivity);
    bool IsGivingWay() const;
    void RecordProgress(uint64_t aBytes);
    /// Records the bytes of reservations that end with the activity.
    void RecordReservedBytes(uint64_t aBytes);

  private:
    std::shared_ptr<ProcessBudget> m_budget;
    uint64_t m_id;
  };

  /// Counts an outgoing connection for the lifetime of this object.
  class OutgoingConnection
  {
  public:
    explicit OutgoingConnection(std::shared_ptr<ProcessBudget> aBudget);
    ~OutgoingConnection();
    OutgoingConnection(const OutgoingConnection&) = delete;
    OutgoingConnection& operator=(const OutgoingConnection&) = delete;

  private:
    std::shared_ptr<ProcessBudget> m_budget;
  };

  const budget::BudgetLimits& Limits() const { return m_limits; }
  budget::BudgetUsage Usage() const;

  /// Makes a stalled connection give way, if there is one. Returns true if
  /// connections are giving way, so that bytes will be free soon.
  bool FreeBytes();
  /// Returns true if one more connection may be accepted, if need be after
  /// another one has been told to give way.
  bool AdmitConnection();
  bool MayPoolOutgoing() const;
  kernel::Counters& Metrics() { return m_metrics; }

private:
  struct Entry
  {
    budget::ConnectionState m_state;
    std::function<void()> m_onGiveWay;
    bool m_isGivingWay = false;
  };

  bool TryResize(uint64_t aOldBytes, uint64_t aNewBytes);
  /// Returns what is known of the connections that are not giving way.
  std::vector<budget::ConnectionState> CopyStates() const;
  /// Makes the connection give way. The mutex must be held.
  void GiveWay(uint64_t aId, std::string_view aCounter);
  void ChangeState(
    uint64_t aId,
    const std::function<void(budget::ConnectionState&)>& aChange);
  void CountOutgoing(int aChange);

  kernel::Counters& m_metrics;
  budget::BudgetLimits m_limits;
  mutable std::mutex m_mutex;
  budget::BudgetUsage m_usage;
  uint64_t m_nextId = 1;
  std::map<uint64_t, Entry> m_connections;
  size_t m_givingWay = 0;
};

} // namespace heatherdeal::http
