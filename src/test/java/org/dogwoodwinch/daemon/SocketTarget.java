package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A target over real sockets, which serves each connection on a thread of its own as a test says. */
final class SocketTarget implements AutoCloseable {

    /** Serves one connection, which is closed afterwards. */
    interface Behaviour {
        void serve(Socket socket) throws IOException;
    }

    private final ServerSocket listener = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Behaviour behaviour;

    /** Creates a target whose sockets have receive buffers of the given size; zero for that of the system. */
    SocketTarget(int receiveBufferBytes, Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        if (receiveBufferBytes > 0) {
            listener.setReceiveBufferSize(receiveBufferBytes);
        }
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        startThread(this::accept);
    }

    /** Returns the entry of the target in the platform's list. */
    String entry(String service) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"zone\":\"dc-1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\"}";
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "socket-target");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                open.add(socket);
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            behaviour.serve(socket);
        } catch (IOException e) {
            // The other side has closed the connection.
        } finally {
            open.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
