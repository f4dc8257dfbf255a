#pragma once

#include <any>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <typeindex>

#include "absl/status/status.h"

#include "kernel/controlthread.h"
#include "kernel/counters.h"
#include "kernel/shutdown.h"
#include "kernel/trafficthreads.h"

namespace heatherdeal::kernel {

/// Identifies this process to other hosts; read from its settings.
struct Identity
{
  std::string m_host;
  std::string m_failureDomain;
  std::string m_region;
  std::string m_address;
};

/// Gives plug-ins access to the kernel and to the services that other plug-ins
/// export, by type.
class Context
{
public:
  Context(Identity aIdentity, size_t aTrafficThreads);
  ~Context();
  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  const Identity& Self() const { return m_identity; }
  ControlThread& Control() { return m_control; }
  TrafficThreads& Traffic() { return m_traffic; }
  Counters& Metrics() { return m_counters; }
  Shutdown& ProcessShutdown() { return m_shutdown; }

  /// Stops the process with a failure that occurred after the plug-ins have
  /// started. Control thread only.
  void StopWithFailure(absl::Status aStatus);
  const absl::Status& FailureStatus() const { return m_failureStatus; }

  /// Exports a service. At most one service of each type is kept.
  template<typename Service>
  void Provide(std::shared_ptr<Service> aService)
  {
    m_services[std::type_index(typeid(Service))] = std::move(aService);
  }

  /// Returns the service of this type that a plug-in has exported, or nullptr
  /// if there is none.
  template<typename Service>
  std::shared_ptr<Service> Get() const
  {
    const auto found = m_services.find(std::type_index(typeid(Service)));
    if (found == m_services.end()) {
      return nullptr;
    }
    return std::static_pointer_cast<Service>(found->second);
  }

private:
  Identity m_identity;
  Counters m_counters;
  // Declared before the loops, because pending requests in the loops release
  // their shutdown holds when they are destroyed.
  Shutdown m_shutdown;
  ControlThread m_control;
  TrafficThreads m_traffic;
  std::map<std::type_index, std::shared_ptr<void>> m_services;
  absl::Status m_failureStatus;
};

} // namespace heatherdeal::kernel
