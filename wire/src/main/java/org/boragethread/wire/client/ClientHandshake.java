package org.boragethread.wire.client;

import com.google.protobuf.ByteString;
import org.boragethread.wire.frame.SharedKey;
import org.boragethread.wire.frame.WireSettings;
import org.boragethread.wire.proto.Challenge;
import org.boragethread.wire.proto.Frame;
import org.boragethread.wire.proto.Hello;
import org.boragethread.wire.proto.Welcome;

/** Authenticates an entry to an agent and verifies the agent's proof of the shared key. */
final class ClientHandshake {

    private final EntryIdentity mIdentity;
    private final SharedKey mKey;
    private final byte[] mNonce = SharedKey.createNonce();
    private byte[] mAgentNonce = new byte[0];

    ClientHandshake(EntryIdentity identity, SharedKey key) {
        mIdentity = identity;
        mKey = key;
    }

    Frame.Builder createHello(Challenge challenge) {
        mAgentNonce = challenge.getNonce().toByteArray();
        byte[] proof = mKey.computeProof(SharedKey.Role.ENTRY, mAgentNonce, mNonce);
        Hello hello =
                Hello.newBuilder()
                        .setEntryId(mIdentity.entryId())
                        .setDataCentre(mIdentity.dataCentre().value())
                        .setNonce(ByteString.copyFrom(mNonce))
                        .setProof(ByteString.copyFrom(proof))
                        .setProtocolVersion(WireSettings.PROTOCOL_VERSION)
                        .build();
        return Frame.newBuilder().setHello(hello);
    }

    boolean isAuthentic(Welcome welcome) {
        byte[] proof = welcome.getProof().toByteArray();
        return mKey.verify(proof, SharedKey.Role.AGENT, mNonce, mAgentNonce);
    }
}
