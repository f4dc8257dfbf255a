#include "standin/engine/generation.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "xxhash.h"

namespace heatherdeal::standin {

namespace {

constexpr uint32_t kVocabulary = 10'000;

uint64_t
HashOf(std::string_view aPrompt, uint64_t aSeed)
{
  return XXH64(aPrompt.data(), aPrompt.size(), aSeed);
}

} // namespace

uint32_t
LengthOf(const LengthModel& aModel,
         std::string_view aPrompt,
         uint64_t aSeed,
         uint32_t aMaxTokens)
{
  std::mt19937_64 generator(HashOf(aPrompt, aSeed));
  std::lognormal_distribution<double> length(std::log(aModel.m_medianTokens),
                                             aModel.m_sigma);
  double tokens = length(generator);
  if (aModel.m_tailEvery > 0 && generator() % aModel.m_tailEvery == 0) {
    tokens *= aModel.m_tailFactor;
  }
  return std::clamp(static_cast<uint32_t>(tokens), 1U, aMaxTokens);
}

std::string
TokenText(std::string_view aPrompt, uint64_t aSeed, uint32_t aIndex)
{
  return "w" + std::to_string((HashOf(aPrompt, aSeed) + aIndex) % kVocabulary) +
         " ";
}

} // namespace heatherdeal::standin
