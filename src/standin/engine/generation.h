#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeal::standin {

/// Distribution of response lengths: log-normal, and one response in
/// m_tailInterval is longer by m_tailFactor. An m_tailInterval of 0 disables
/// these.
struct LengthModel
{
  double m_medianTokens = 60.0;
  double m_sigma = 0.5;
  uint32_t m_tailInterval = 16;
  double m_tailFactor = 10.0;
};

/// Returns the number of tokens of the response to a prompt. It depends on the
/// arguments alone, so every engine generates the same response.
uint32_t
ResponseLength(const LengthModel& aModel,
               std::string_view aPrompt,
               uint64_t aSeed,
               uint32_t aMaxTokens);

/// Returns the text of token aIndex of the response.
std::string
TokenText(std::string_view aPrompt, uint64_t aSeed, uint32_t aIndex);

} // namespace heatherdeal::standin
