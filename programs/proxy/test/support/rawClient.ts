import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { addressParts } from '@pewterlanding/model';
import type { Address } from '@pewterlanding/model';

/** How one request ended: with a whole response of some status, or with a closed connection after so many bytes of one. */
type Ending = { readonly kind: 'response'; readonly status: number } | { readonly kind: 'closed'; readonly bytes: number };

/** A client on a bare socket, which sees every way in which a connection can end. */
export class RawClient {
  readonly #socket: Socket;
  #received = '';
  #ended: (ending: Ending) => void = () => undefined;

  constructor(address: Address) {
    const { host, port } = addressParts(address);
    this.#socket = connect({ host, port });
    this.#socket.on('error', () => undefined);
    this.#socket.on('data', (chunk) => this.#read(chunk.toString('latin1')));
    this.#socket.on('close', () => this.#ended({ kind: 'closed', bytes: this.#received.length }));
  }

  /** Whether the last response said that the connection closes, or it has closed. */
  get isOver(): boolean {
    return this.#socket.destroyed || !this.#socket.writable;
  }

  /** Sends a request and resolves with how it ended. */
  send(path: string, id: string): Promise<Ending> {
    this.#received = '';
    const head = `POST ${path} HTTP/1.1\r\nhost: a.example\r\ntask-id: ${id}\r\nexpiry-ms: 5000\r\ncontent-length: 2\r\n\r\n`;
    return new Promise((resolve) => {
      this.#ended = resolve;
      if (this.#socket.destroyed) resolve({ kind: 'closed', bytes: 0 });
      else this.#socket.write(`${head}hi`);
    });
  }

  /** Leaves what arrives unread, as a slow client does. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  close(): void {
    this.#socket.destroy();
  }

  #read(text: string): void {
    this.#received += text;
    const status = wholeResponse(this.#received);
    if (status === undefined) return;
    if (/\r\nconnection: close\r\n/i.test(this.#received)) this.#socket.end();
    this.#ended({ kind: 'response', status });
  }
}

/** The status of a response, once all of it is there. */
function wholeResponse(received: string): number | undefined {
  const headEnd = received.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const length = /\r\ncontent-length: (\d+)/i.exec(received)?.[1];
  const body = received.slice(headEnd + 4);
  const isWhole = length === undefined ? body.endsWith('0\r\n\r\n') : body.length >= Number(length);
  return isWhole ? Number(received.slice(9, 12)) : undefined;
}
