/* An HTTP server on libsoup, which limits the number of connections, their idle time and the size
 * of request bodies. The server knows no field of the protocol. */
#pragma once
#include "json-codec.h"
#include <gio/gio.h>

typedef struct KrHttpServer KrHttpServer;
typedef struct KrRequest KrRequest;
/* Called for each request. The handler takes over `request` and must answer it with
 * kr_request_reply, at once or later. */
typedef void (*KrHttpHandler) (KrRequest *request, gpointer data);

/* Listens on `address` ("IP address:port") for at most `conns` connections, each of which is closed
 * after `idle_s` seconds without traffic, or if it has not sent a whole request in
 * KR_REQUEST_READ_MAX_S. Returns NULL and sets `error` if the server cannot listen
 * there. */
KrHttpServer *kr_http_server_new (const char *address, guint conns, guint idle_s,
                                  GCancellable *cancel, KrHttpHandler handler, gpointer data,
                                  GError **error);
/* Stops listening and closes the connections. */
void kr_http_server_free (KrHttpServer *server);

/* State of the connections, for the log. */
typedef struct {
  guint open, limit;
  guint64 accept_pauses;  /* times that all connections were in use, since the start */
  double accept_paused_s; /* time for which they were, since the start */
  /* Connections without a whole request that were closed, since the start: past the deadline, and
   * to make room. */
  guint64 closed_late, closed_for_room;
} KrHttpServerStats;
KrHttpServerStats kr_http_server_stats (const KrHttpServer *server);

const char *kr_request_method (KrRequest *request);
const char *kr_request_path (KrRequest *request);  /* without the query */
const char *kr_request_query (KrRequest *request); /* the text after "?", or NULL */
/* Returns the body, which belongs to the request, or NULL if it is not JSON. */
json_t *kr_request_json (KrRequest *request);
/* Returns why there is no JSON body and where the syntax error is, or NULL. Belongs to the request.
 */
const char *kr_request_json_error (KrRequest *request);
gsize kr_request_body_bytes (KrRequest *request);
/* Frees the body. For requests whose answer comes later, as a value takes many times the memory of
 * its text. */
void kr_request_discard_json (KrRequest *request);
/* Whether the client has closed the connection, so that an answer cannot reach it. */
gboolean kr_request_disconnected (KrRequest *request);
/* Answers the request and frees it. Takes over `body`; NULL stands for an empty object. With
 * `retry_after_s` 0 there is no Retry-After header. */
void kr_request_reply (KrRequest *request, guint status, json_t *body, guint retry_after_s);
