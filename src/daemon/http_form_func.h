/** @file http_form_func.h Converts HTTP messages between the types of proxy and http. */
#pragma once

#include "http/server_base.h"
#include "proxy/caller_session_base.h"
#include "proxy/http_connection_base.h"

namespace teaselreach::daemon {

/** @return The request of an exchange; its body is moved out of the exchange. */
http::ServerRequest takeRequest(proxy::CallerExchange &exchange);

/** Sets the response of an exchange. */
void setResponse(http::ServerResponse response, proxy::CallerExchange &exchange);

/** @return The response as the proxy sends it to a caller. */
proxy::HttpResponse toHttpResponse(http::ServerResponse response);

/** @return The request as the proxy sends it to an upstream. */
proxy::HttpRequest toHttpRequest(http::Request request, const http::Target &target);

/** @return The result of an exchange with an upstream; a cancelled one has Cause::Cut. */
http::Result toHttpResult(proxy::ExchangeResult result);

} // namespace teaselreach::daemon
