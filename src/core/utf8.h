#pragma once

#include <string_view>

namespace heatherdeal::core {

/// True if the bytes are valid UTF-8, so that a JSON string can hold them.
bool
IsUtf8(std::string_view aBytes);

} // namespace heatherdeal::core
