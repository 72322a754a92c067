/* HTTP client for direct calls to workers, used for fencing and kills. A `run` order is never sent
 * this way, since such a command could be executed late. */
#pragma once
#include "http-client.h"
#include "wire.h"

/* `report` is NULL if the response has none; `status` is as in KrHttpResponseFunc. The callback
 * must not keep `report`. */
typedef void (*KrWorkerReplyFunc) (guint status, KrReport *report, gpointer data);
/* GET /show: asks the worker at `endpoint` for a report. */
void kr_worker_get_report (KrHttpClient *client, const char *endpoint, GCancellable *cancel,
                           KrWorkerReplyFunc reply, gpointer data);
/* POST /commands: sends commands, which the worker answers with a report. Takes ownership of
 * `commands`. */
void kr_worker_send_commands (KrHttpClient *client, const char *endpoint, json_t *commands,
                              GCancellable *cancel, KrWorkerReplyFunc reply, gpointer data);
