import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import * as v from 'valibot';
import { check, FindingsError } from '@pewterlanding/model';
import { BootSettings } from '@pewterlanding/runtime';
import { Deployment } from './deployment.js';

interface Read {
  readonly deployment: Deployment;
  readonly boots: ReadonlyMap<string, BootSettings>;
  readonly configuration: Readonly<Record<string, unknown>>;
}

interface ReadOptions {
  /** All addresses of a deployment lie in one 127.N network; another N takes its place, so that two fleets can stand beside each other. */
  readonly net?: number;
  /** Others dial each process at a relay of the harness. */
  readonly links?: boolean;
}

const transportPort = ':7000';
const relayPort = ':17000';

/** Reads a deployment's folder. */
export async function readDeployment(folder: string, { net, links = false }: ReadOptions = {}): Promise<Read> {
  const read = async <T>(file: string, schema: v.GenericSchema<unknown, T>, change = (text: string): string => text): Promise<T> => {
    const text = change(
      (await readFile(join(folder, file), 'utf8')).replace(/\b127\.\d+\./g, (found) => (net === undefined ? found : `127.${net}.`)),
    );
    const value = check(schema, JSON.parse(text));
    if (!value.ok) throw new FindingsError(value.findings.map((finding) => ({ ...finding, place: `${file}: ${finding.place}` })));
    return value.value;
  };
  const deployment = await read('fleet.json', Deployment);
  const boots = new Map<string, BootSettings>();
  for (const { program, bootSettings: key } of deployment.processes) {
    const bootSettings = await read(join('boots', `${key}.json`), BootSettings);
    if (!links) boots.set(key, bootSettings);
    else {
      const seeds = bootSettings.seeds.map(relayed);
      // Nobody dials a proxy but the agent beside it.
      boots.set(key, { ...bootSettings, seeds, ...(program === 'proxy' ? {} : { advertise: relayed(bootSettings.listen) }) });
    }
  }
  // The configuration names no other address on the wire's port than those of controllers and stores.
  const configuration = await read('setup.json', v.record(v.string(), v.unknown()), (text) =>
    links ? text.replaceAll(`${transportPort}"`, `${relayPort}"`) : text,
  );
  return { deployment, boots, configuration };
}

function relayed(address: BootSettings['listen']): BootSettings['listen'] {
  return v.parse(BootSettings.entries.listen, address.replace(transportPort, relayPort));
}
