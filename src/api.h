/* The users' API: submits, polls and cancels jobs. Any node answers any request from the data in
 * the state service. The answer is 503 if that data cannot be read. */
#pragma once
#include "http-server.h"
#include "node.h"
#include "wire.h"

KrApi *kr_api_new (KrNode *node);
/* Cancels all calls in progress. The memory is not freed, as their callbacks may still run. */
void kr_api_free (KrApi *api);
/* These three functions take over `request` and answer it, at once or later. */
void kr_api_submit (KrApi *api, KrRequest *request);
void kr_api_poll (KrApi *api, KrRequest *request, const char *id);
/* Logs the polls that were not answered since the last call, if there are any, with the state of
 * what they wait for. */
void kr_api_log_unanswered_polls (KrApi *api);
/* Returns counters of the polls as a JSON object for /health. */
json_t *kr_api_health (KrApi *api);
/* Cancels the job. */
void kr_api_abort (KrApi *api, KrRequest *request, const char *id);
