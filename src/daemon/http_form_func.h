/** @file http_form_func.h Messages of the event loop in the forms of the daemon, and back. */
#pragma once

#include "http/server_base.h"
#include "proxy/caller_session_base.h"
#include "proxy/http_link_base.h"

namespace teaselreach::daemon {

/** @return A request that arrived; its body is moved out of the exchange. */
http::ServerRequest takeRequest(proxy::CallerExchange &exchange);

/** Fills the answer of an exchange. */
void setResponse(http::ServerResponse response, proxy::CallerExchange &exchange);

/** @return An answer as the event loop writes it. */
proxy::HttpResponse toHttpResponse(http::ServerResponse response);

/** @return A request as the event loop sends it to a server. */
proxy::HttpRequest toHttpRequest(http::Request request, const http::Target &target);

/** @return The end of an exchange with an upstream; one whose caller has left counts as cut. */
http::Result toHttpResult(proxy::ExchangeResult result);

} // namespace teaselreach::daemon
