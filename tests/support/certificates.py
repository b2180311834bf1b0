"""A test certificate authority and the certificates that it issues."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec


class Authority:
    """Issues certificates for instances and writes them to a folder."""

    def __init__(self, folder, name="authority"):
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        constraint = x509.BasicConstraints(ca=True, path_length=None)
        self.certificate = self.build(self.name, self.key).add_extension(
            constraint, critical=True
        ).sign(self.key, hashes.SHA256())  # fmt: skip
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(pem(self.certificate))

    def build(self, subject, key):
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(days=1))
        )

    def issue(self, name, file=None):
        """Write a certificate and key for `name`; return the serial number."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        names = x509.SubjectAlternativeName([x509.DNSName(name), address])
        certificate = self.build(subject, key).add_extension(names, critical=False)
        signed = certificate.sign(self.key, hashes.SHA256())
        text = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        (self.folder / f"{file or name}.key").write_bytes(text)
        (self.folder / f"{file or name}.pem").write_bytes(pem(signed))
        return signed.serial_number

    def variables(self, file):
        """Return the environment variables that enable TLS with the files of `file`."""
        return {
            "MANGOSAIL_PLAINTEXT": "false",
            "MANGOSAIL_TLS_CERTIFICATE": str(self.folder / f"{file}.pem"),
            "MANGOSAIL_TLS_KEY": str(self.folder / f"{file}.key"),
            "MANGOSAIL_TLS_AUTHORITY": str(self.path),
        }


def pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
