/* The cloud's client, within this node's share of its requests. */
#pragma once
#include "http-client.h"
#include "wire.h"

typedef struct KrCloudClient KrCloudClient;
KrCloudClient *kr_cloud_new (const KrSettings *settings);
void kr_cloud_free (KrCloudClient *cloud);
void kr_cloud_list_types (KrCloudClient *cloud, GCancellable *cancel, KrHttpResponseFunc reply,
                          gpointer data);
/* machines: KrListedMachine, NULL if the list could not be read whole. */
typedef void (*KrCloudListFunc) (GPtrArray *machines, gpointer data);
void kr_cloud_list_machines (KrCloudClient *cloud, GCancellable *cancel, KrCloudListFunc listed,
                             gpointer data);
void kr_cloud_rent (KrCloudClient *cloud, const char *request, const char *type, const char *zone,
                    gboolean spot, guint count, GCancellable *cancel, KrHttpResponseFunc reply,
                    gpointer data);
/* status 200: surely gone. Requests of one moment, and those made while the limit holds them back,
 * go out in one call. */
void kr_cloud_delete (KrCloudClient *cloud, const char *id, GCancellable *cancel,
                      KrHttpResponseFunc reply, gpointer data);
/* This node's part (0 to 1) of the requests of all nodes together. */
void kr_cloud_set_rate_share (KrCloudClient *cloud, double share);
