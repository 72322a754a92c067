/* Direct calls to workers: fencing and kills. Never `run`: such a command could be executed late.
 */
#pragma once
#include "http-client.h"
#include "wire.h"

/* report: NULL if there was none in the answer. status as in KrReply. */
typedef void (*KrWorkerReply) (guint status, KrReport *report, gpointer data);
void kr_worker_show (KrClient *client, const char *endpoint, GCancellable *cancel,
                     KrWorkerReply reply, gpointer data);
/* Takes over `commands`. */
void kr_worker_command (KrClient *client, const char *endpoint, json_t *commands,
                        GCancellable *cancel, KrWorkerReply reply, gpointer data);
