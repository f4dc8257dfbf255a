#pragma once

namespace heatherdeal::core {

/// A visitor made of one lambda per alternative.
template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace heatherdeal::core
