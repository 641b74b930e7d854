import { createServer } from 'node:net';
import { HarnessError } from '../errors/index.js';

/** Finds an N so that nothing listens in 127.N on the ports a deployment uses. */
export async function freeNet(from: number): Promise<number> {
  for (let net = from; net < 250; net += 1) {
    const free = await new Promise<boolean>((resolve) => {
      const server = createServer();
      server.once('error', () => resolve(false));
      server.listen(7000, `127.${net}.20.1`, () => server.close(() => resolve(true)));
    });
    if (free) return net;
  }
  throw new HarnessError('no free loopback network');
}
