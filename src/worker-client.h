/* Direct calls to workers: fencing and kills. Never `run`: such a command could be executed late.
 */
#pragma once
#include "http-client.h"
#include "wire.h"

/* report: NULL if there was none in the answer. status as in KrHttpResponseFunc. */
typedef void (*KrWorkerReplyFunc) (guint status, KrReport *report, gpointer data);
void kr_worker_get_report (KrHttpClient *client, const char *endpoint, GCancellable *cancel,
                           KrWorkerReplyFunc reply, gpointer data);
/* Takes over `commands`. */
void kr_worker_send_commands (KrHttpClient *client, const char *endpoint, json_t *commands,
                              GCancellable *cancel, KrWorkerReplyFunc reply, gpointer data);
