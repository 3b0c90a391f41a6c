/** @file message_pack_func.h Parses MessagePack documents of other VMs. */
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string_view>

namespace teaselreach::proxy {

/**
 * @param bytes A MessagePack document.
 * @return The document.
 * @throws nlohmann::json::exception if it is malformed or nested more deeply than any message; the
 * parser recurses, and a document of nothing but nested arrays would exhaust its stack
 */
nlohmann::json parseMessagePack(std::string_view bytes);

/** @return A whole number. Converting any other number could be undefined, since it may not fit.
 * @throws nlohmann::json::exception if it is none */
std::int64_t wholeNumber(const nlohmann::json &value);
/** @return As wholeNumber(), moved into the range of int.
 * @throws nlohmann::json::exception if it is no whole number */
int wholeInt(const nlohmann::json &value);

} // namespace teaselreach::proxy
