#pragma once

/// HTTP status codes that the router sends or handles (RFC 9110, RFC 6585).
namespace lycheearch::HttpStatus {

constexpr int FirstValid = 100;
constexpr int Ok = 200; ///< The first final status; those below are interim ones.
constexpr int NoContent = 204;
constexpr int FirstRedirect = 300; ///< Final status codes below this one are successes.
constexpr int NotModified = 304;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int RequestTimeout = 408;
constexpr int Conflict = 409;
constexpr int Gone = 410;
constexpr int PreconditionFailed = 412;
constexpr int PayloadTooLarge = 413;
constexpr int Misdirected = 421;
constexpr int TooManyRequests = 429;
constexpr int HeadTooLarge = 431;
constexpr int FirstServerError = 500;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int LastValid = 599;

} // namespace lycheearch::HttpStatus
