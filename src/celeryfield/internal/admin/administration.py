"""Routes of a node's administration API."""

import random

from aiohttp import web

from celeryfield.internal.admin import openapi, operations
from celeryfield.internal.admin.explain import ExplainHandler
from celeryfield.internal.admin.filesets import FileSetHandlers
from celeryfield.internal.admin.inforce import InForceCounter
from celeryfield.internal.admin.replies import Handler, model_response
from celeryfield.internal.admin.status import NodeComponents, node_status
from celeryfield.internal.store.applier import FileSetApplier


def routes(node: NodeComponents) -> list[web.RouteDef]:
    """Returns the routes whose handlers need a started node."""
    applier = FileSetApplier(node.store, node.clock) if node.store else None
    filesets = FileSetHandlers(node.config, applier)
    counter = InForceCounter(
        node.membership, node.settings.node.id, node.config, random.Random()
    )
    explainer = ExplainHandler(node.config, node.levels, node.directory)

    async def show_status(_request: web.Request) -> web.Response:
        return model_response(node_status(node))

    async def show_openapi(_request: web.Request) -> web.Response:
        return web.json_response(openapi.build_document())

    return [
        _route(operations.STATUS, show_status),
        _route(operations.FILESETS, filesets.show_all),
        _route(operations.FILESET, filesets.show),
        _route(operations.APPLY, filesets.apply),
        _route(operations.IN_FORCE, counter.serve),
        _route(operations.DRAIN, node.draining.serve),
        _route(operations.EXPLAIN, explainer.serve),
        _route(operations.OPENAPI, show_openapi),
    ]


def _route(operation: operations.Operation, handler: Handler) -> web.RouteDef:
    return web.route(operation.method, operation.path, handler)
