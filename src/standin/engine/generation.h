#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeal::standin {

/// How long replies are: log-normal, and one in m_tailEvery is longer by
/// m_tailFactor.
struct LengthModel
{
  double m_medianTokens = 60.0;
  double m_sigma = 0.5;
  uint32_t m_tailEvery = 16;
  double m_tailFactor = 10.0;
};

/// The length of the reply to a prompt; the same on every engine.
uint32_t
LengthOf(const LengthModel& aModel,
         std::string_view aPrompt,
         uint64_t aSeed,
         uint32_t aMaxTokens);

/// Token aIndex of that reply as text.
std::string
TokenText(std::string_view aPrompt, uint64_t aSeed, uint32_t aIndex);

} // namespace heatherdeal::standin
