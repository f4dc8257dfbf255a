#include "customers/access.h"

namespace heatherdeal::customers {

Access
DecideAccess(const AccessFacts& aFacts, core::Instant aNow)
{
  // Requests do not run, and are not denied for good, before it is known which
  // customers there are.
  if (!aFacts.m_isConfigured) {
    return AccessUndecided{};
  }
  if (!aFacts.m_needsKey) {
    return AnonymousAccess{};
  }
  if (aFacts.m_customer) {
    if (aNow > aFacts.m_keysValidUntil) {
      return AccessUndecided{};
    }
    return CustomerAccess{ *aFacts.m_customer };
  }
  // A caller does not repeat a request that was denied, and a host that is out
  // of date may lack a key that was added meanwhile.
  if (aNow > aFacts.m_unknownKeysUntil) {
    return AccessUndecided{};
  }
  return AccessDenied{};
}

} // namespace heatherdeal::customers
