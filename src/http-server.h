/* An HTTP server on libsoup: bounded connections, bodies and idle times. Knows no field of the
 * protocol. */
#pragma once
#include <gio/gio.h>
#include <jansson.h>

typedef struct KrHttpServer KrHttpServer;
typedef struct KrRequest KrRequest;
typedef void (*KrHttpHandler) (KrRequest *request, gpointer data);

/* Listens on "ip:port"; at most `conns` connections, each bounded in idle time. */
KrHttpServer *kr_http_server_new (const char *address, guint conns, guint idle_s,
                                  GCancellable *cancel, KrHttpHandler handler, gpointer data,
                                  GError **error);
void kr_http_server_free (KrHttpServer *server);

const char *kr_request_method (KrRequest *request);
const char *kr_request_path (KrRequest *request);  /* without the query */
const char *kr_request_query (KrRequest *request); /* what follows "?", or NULL */
/* NULL if the body is no JSON value. Borrowed. */
json_t *kr_request_json (KrRequest *request);
gboolean kr_request_disconnected (KrRequest *request);
/* Answers and lets go of the request. Takes over `body`; retry_after_s 0: no such header. */
void kr_request_reply (KrRequest *request, guint status, json_t *body, guint retry_after_s);
