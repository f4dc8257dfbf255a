#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace heatherdeal::kernel {

/// Holds an immutable value that the control thread replaces atomically and
/// that traffic threads read.
template<typename T>
class Published
{
public:
  std::shared_ptr<const T> Read() const { return m_value.load(); }

  void Publish(T aValue)
  {
    m_value.store(std::make_shared<const T>(std::move(aValue)));
  }

private:
  std::atomic<std::shared_ptr<const T>> m_value{ std::make_shared<const T>() };
};

} // namespace heatherdeal::kernel
