#include "http/processbudget.h"

#include "kernel/controlthread.h"

namespace heatherdeal::http {

ProcessBudget::ProcessBudget(kernel::Counters& aMetrics,
                             const budget::BudgetLimits& aLimits)
  : m_metrics(aMetrics)
  , m_limits(aLimits)
{
}

bool
ProcessBudget::Reservation::TryResize(uint64_t aBytes)
{
  if (aBytes != m_bytes && !m_budget->TryResize(m_bytes, aBytes)) {
    return false;
  }
  m_bytes = aBytes;
  return true;
}

ProcessBudget::IncomingConnection::IncomingConnection(
  std::shared_ptr<ProcessBudget> aBudget,
  std::function<void()> aOnGiveWay)
  : m_budget(std::move(aBudget))
{
  const std::scoped_lock lock(m_budget->m_mutex);
  m_id = m_budget->m_nextId++;
  Entry& entry = m_budget->m_connections[m_id];
  entry.m_state.m_id = m_id;
  entry.m_state.m_since = entry.m_state.m_lastProgressAt = kernel::Now();
  entry.m_onGiveWay = std::move(aOnGiveWay);
  m_budget->m_usage.m_incoming += 1;
  m_budget->m_metrics.GaugeOf("http.budget_incoming")
    .Set(m_budget->m_usage.m_incoming);
}

ProcessBudget::IncomingConnection::~IncomingConnection()
{
  const std::scoped_lock lock(m_budget->m_mutex);
  const auto found = m_budget->m_connections.find(m_id);
  m_budget->m_givingWay -= found->second.m_isGivingWay ? 1 : 0;
  m_budget->m_connections.erase(found);
  m_budget->m_usage.m_incoming -= 1;
  m_budget->m_metrics.GaugeOf("http.budget_incoming")
    .Set(m_budget->m_usage.m_incoming);
}

void
ProcessBudget::IncomingConnection::BeginActivity(
  budget::ConnectionActivity aActivity)
{
  const std::scoped_lock lock(m_budget->m_mutex);
  Entry& entry = m_budget->m_connections.at(m_id);
  m_budget->m_givingWay -= entry.m_isGivingWay ? 1 : 0;
  entry.m_isGivingWay = false;
  budget::ConnectionState& state = entry.m_state;
  state.m_activity = aActivity;
  state.m_since = state.m_lastProgressAt = kernel::Now();
  state.m_progressBytes = 0;
  state.m_reservedBytes = 0;
}

bool
ProcessBudget::IncomingConnection::IsGivingWay() const
{
  const std::scoped_lock lock(m_budget->m_mutex);
  return m_budget->m_connections.at(m_id).m_isGivingWay;
}

void
ProcessBudget::IncomingConnection::RecordProgress(uint64_t aBytes)
{
  m_budget->ChangeState(m_id, [aBytes](budget::ConnectionState& aState) {
    aState.m_lastProgressAt = kernel::Now();
    aState.m_progressBytes += aBytes;
  });
}

void
ProcessBudget::IncomingConnection::RecordReservedBytes(uint64_t aBytes)
{
  m_budget->ChangeState(m_id, [aBytes](budget::ConnectionState& aState) {
    aState.m_reservedBytes = aBytes;
  });
}

ProcessBudget::OutgoingConnection::OutgoingConnection(
  std::shared_ptr<ProcessBudget> aBudget)
  : m_budget(std::move(aBudget))
{
  m_budget->CountOutgoing(1);
}

ProcessBudget::OutgoingConnection::~OutgoingConnection()
{
  m_budget->CountOutgoing(-1);
}

budget::BudgetUsage
ProcessBudget::Usage() const
{
  const std::scoped_lock lock(m_mutex);
  return m_usage;
}

bool
ProcessBudget::TryResize(uint64_t aOldBytes, uint64_t aNewBytes)
{
  const std::scoped_lock lock(m_mutex);
  const std::optional<budget::BudgetUsage> usage =
    budget::ResizeReservation(m_limits, m_usage, aOldBytes, aNewBytes);
  if (!usage) {
    return false;
  }
  // The metrics are not used here: a response, and with it its reservation, may
  // live longer than they do.
  m_usage = *usage;
  return true;
}

std::vector<budget::ConnectionState>
ProcessBudget::CopyStates() const
{
  std::vector<budget::ConnectionState> states;
  for (const auto& [id, entry] : m_connections) {
    if (!entry.m_isGivingWay) {
      states.push_back(entry.m_state);
    }
  }
  return states;
}

void
ProcessBudget::GiveWay(uint64_t aId, std::string_view aCounter)
{
  Entry& entry = m_connections.at(aId);
  entry.m_isGivingWay = true;
  m_givingWay += 1;
  m_metrics.Get(aCounter).Add();
  entry.m_onGiveWay();
}

bool
ProcessBudget::FreeBytes()
{
  const std::scoped_lock lock(m_mutex);
  if (m_givingWay == 0) {
    const auto chosen = budget::ChooseToFreeBytes(CopyStates(), kernel::Now());
    if (chosen) {
      GiveWay(*chosen, "http.gave_way_for_bytes");
    }
  }
  return m_givingWay > 0;
}

bool
ProcessBudget::AdmitConnection()
{
  const std::scoped_lock lock(m_mutex);
  budget::BudgetUsage usage = m_usage;
  usage.m_incoming -= static_cast<uint32_t>(m_givingWay);
  if (budget::MayAccept(m_limits, usage)) {
    return true;
  }
  const auto chosen =
    budget::ChooseToFreeDescriptor(CopyStates(), kernel::Now());
  if (chosen) {
    GiveWay(*chosen, "http.gave_way_for_descriptors");
  }
  return chosen.has_value();
}

bool
ProcessBudget::MayPoolOutgoing() const
{
  const std::scoped_lock lock(m_mutex);
  return budget::MayPoolOutgoing(m_limits, m_usage);
}

void
ProcessBudget::ChangeState(
  uint64_t aId,
  const std::function<void(budget::ConnectionState&)>& aChange)
{
  const std::scoped_lock lock(m_mutex);
  aChange(m_connections.at(aId).m_state);
}

void
ProcessBudget::CountOutgoing(int aChange)
{
  const std::scoped_lock lock(m_mutex);
  m_usage.m_outgoing += static_cast<uint32_t>(aChange);
  m_metrics.GaugeOf("http.budget_outgoing").Set(m_usage.m_outgoing);
}

} // namespace heatherdeal::http
