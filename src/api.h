/* Users. Any node answers any request from the state service; what cannot be known is 503. */
#pragma once
#include "http-server.h"
#include "node.h"
#include "wire.h"

KrApi *kr_api_new (KrNode *node);
void kr_api_free (KrApi *api);
/* All three take over `request`. */
void kr_api_submit (KrApi *api, KrRequest *request);
void kr_api_poll (KrApi *api, KrRequest *request, const char *id);
void kr_api_abort (KrApi *api, KrRequest *request, const char *id);
