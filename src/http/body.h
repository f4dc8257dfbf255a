#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace heatherdeal::http {

/// The immutable bytes of a request's body. Copies share the bytes.
class Body
{
public:
  Body() = default;
  Body(std::string aBytes)
    : Body(std::move(aBytes), nullptr)
  {
  }
  Body(std::string_view aBytes)
    : Body(std::string(aBytes))
  {
  }
  Body(const char* aBytes)
    : Body(std::string(aBytes))
  {
  }
  /// Keeps aReservation as long as a copy exists.
  Body(std::string aBytes, std::shared_ptr<const void> aReservation)
    : m_content(std::make_shared<const Content>(
        Content{ std::move(aBytes), std::move(aReservation) }))
  {
  }

  std::string_view View() const
  {
    return m_content ? std::string_view(m_content->m_bytes)
                     : std::string_view();
  }
  operator std::string_view() const { return View(); }
  size_t Size() const { return View().size(); }
  bool IsEmpty() const { return View().empty(); }

  friend bool operator==(const Body& aBody, std::string_view aBytes)
  {
    return aBody.View() == aBytes;
  }

private:
  struct Content
  {
    std::string m_bytes;
    std::shared_ptr<const void> m_reservation;
  };

  std::shared_ptr<const Content> m_content;
};

} // namespace heatherdeal::http
