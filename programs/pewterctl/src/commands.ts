import { auditCommand } from './auditCommand.js';
import type { Command } from './command.js';
import { movesCommand } from './movesCommand.js';
import { planCommands } from './planCommands.js';
import { readView } from './readView.js';
import { show } from './show.js';
import { views } from './views.js';

/** Every command of pewterctl by its name, in the order of the help. */
export const commands: Readonly<Record<string, Command>> = {
  ...planCommands,
  moves: movesCommand,
  audit: auditCommand,
  configuration: {
    usage: '',
    help: 'show the configuration in force',
    run: ({ controller }) => readView(controller, '/v1/configuration', views.configuration, show.configuration),
  },
  history: {
    usage: '',
    help: 'show the confirmed versions of the configuration',
    run: ({ controller }) => readView(controller, '/v1/configuration/history', views.history, show.history),
  },
  nodes: {
    usage: '',
    help: 'show the machines and their states',
    run: ({ controller }) => readView(controller, '/v1/nodes', views.nodes, show.nodes),
  },
  shards: {
    usage: '',
    help: 'show the shards with their leaders, members and lag',
    run: ({ controller }) => readView(controller, '/v1/shards', views.shards, show.shards),
  },
  roles: {
    usage: '',
    help: 'show who holds the singleton roles',
    run: ({ controller }) => readView(controller, '/v1/roles', views.roles, show.roles),
  },
  quotas: {
    usage: '',
    help: 'show the quotas with their use and the items waiting',
    run: ({ controller }) => readView(controller, '/v1/quotas', views.quotas, show.quotas),
  },
  batches: {
    usage: '',
    help: 'show the newest batches',
    run: ({ controller }) => readView(controller, '/v1/batches', views.batches, show.batches),
  },
};
